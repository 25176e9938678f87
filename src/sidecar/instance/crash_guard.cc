#include "sidecar/instance/crash_guard.h"

#include <algorithm>
#include <utility>

namespace copperlead::sidecar
{
namespace
{

// Nodes that start, or come back from a cut, learn what is held within about a second: each is told
// twice in it on average, in a fleet of any size.
constexpr Milliseconds tellingInterval{ 1000 };
constexpr std::size_t toldAtOnce = 2;

Timestamp now() { return SteadyClock().Now(); }

} // namespace

CrashGuard::CrashGuard (std::shared_ptr<Reactor> reactorToUse, const mesh::CrashLimits& limits,
                        std::string ownIpToUse, std::shared_ptr<DecisionLog> logToUse)
    : reactor (std::move (reactorToUse))
    , ownIp (std::move (ownIpToUse))
    , log (std::move (logToUse))
    , ledger (limits)
    , timer (reactor)
{
}

void CrashGuard::setDirectory (const mesh::DirectorySnapshot& directory)
{
    known.clear();

    // The node beside an instance that is gone still takes requests.
    for (const auto& [address, listed] : directory.byAddress)
        if (listed.instance.address.ip != ownIp)
            known.insert (listed.instance.address.ip);

    others.assign (known.begin(), known.end());
}

std::optional<mesh::RequestDigest>
CrashGuard::suspectOf (const mesh::RequestIdentity& request) const
{
    // Few bodies are read for it: only of requests whose head is suspected.
    if (ledger.empty() || ! ledger.knowsHead (headDigestOf (request)))
        return std::nullopt;

    return digestOf (request);
}

std::optional<mesh::Hold> CrashGuard::holdOf (const mesh::RequestIdentity& request) const
{
    const auto digest = suspectOf (request);
    return digest ? ledger.holdOf (now(), *digest) : std::nullopt;
}

void CrashGuard::crashed (const mesh::CrashReport& report)
{
    auto records = recordsOf (report);
    ownCrashes.insert (report.crash);

    for (auto& record : records)
    {
        take (now(), record, ownIp);
        record = acquit (now(), record.request).value_or (record);
    }

    tellAll (records);
    armTelling();
}

void CrashGuard::answered (const mesh::RequestIdentity& request)
{
    const auto digest = digestOf (request);
    answers.observe (now(), digest);

    if (const auto record = acquit (now(), digest))
        tellAll ({ *record });
}

std::optional<mesh::SuspectRecord> CrashGuard::acquit (Timestamp at,
                                                       const mesh::RequestDigest& request)
{
    if (ledger.empty() || ! answers.contains (at, request))
        return std::nullopt;

    const bool wasHeld = ledger.holdOf (at, request).has_value();
    auto record = ledger.clear (at, request);

    if (record && wasHeld)
        logChange (at, EventKind::suspectCleared, *record, ownIp);

    return record;
}

void CrashGuard::take (Timestamp at, const mesh::SuspectRecord& record, std::string_view by)
{
    const auto change = ledger.merge (at, record);

    if (change == mesh::SuspectChange::held)
        return logChange (at, EventKind::suspectHeld, record, by);

    if (change != mesh::SuspectChange::cleared)
        return;

    logChange (at, EventKind::suspectCleared, record, by);

    // Who told all of a crash tells all that this request isn't to blame.
    if (std::any_of (record.crashes.begin(), record.crashes.end(),
                     [this] (const auto& known) { return ownCrashes.contains (known.crash); }))
        tellAll ({ record });
}

void CrashGuard::logChange (Timestamp at, EventKind kind, const mesh::SuspectRecord& record,
                            std::string_view by)
{
    ++(kind == EventKind::suspectHeld ? counts.held : counts.cleared);
    log->write (at, kind,
                { { "digest", toText (record.request) },
                  { "by", by },
                  { "age_ms", static_cast<std::int64_t> (record.age.count()) },
                  { "suspects", static_cast<std::int64_t> (ledger.size()) } });
}

void CrashGuard::tell (const std::string& ip, const std::vector<mesh::SuspectRecord>& records)
{
    if (! send)
        return;

    for (std::size_t from = 0; from < records.size(); from += mesh::SuspectNews::mostRecords)
    {
        const auto to = std::min (records.size(), from + mesh::SuspectNews::mostRecords);
        mesh::SuspectNews news;
        news.records.assign (records.begin() + static_cast<std::ptrdiff_t> (from),
                             records.begin() + static_cast<std::ptrdiff_t> (to));
        ++counts.told;
        send (ip, mesh::encode (news));
    }
}

void CrashGuard::tellAll (const std::vector<mesh::SuspectRecord>& records)
{
    for (const auto& ip : others)
        tell (ip, records);
}

void CrashGuard::armTelling()
{
    if (! ledger.empty())
        timer.arm (now() + tellingInterval,
                   [weak = weak_from_this()]
                   {
                       if (const auto self = weak.lock())
                           self->tellSome();
                   });
}

void CrashGuard::tellSome()
{
    ledger.advance (now());
    const auto records = ledger.worthTelling (now(), mesh::SuspectNews::mostRecords);

    if (! records.empty() && ! others.empty())
    {
        std::uniform_int_distribution<std::size_t> any (0, others.size() - 1);

        for (std::size_t i = 0; i < toldAtOnce; ++i)
            tell (others[any (random)], records);
    }

    armTelling();
}

bool CrashGuard::receive (const std::string& ip, std::string_view datagram)
{
    const auto news = mesh::decodeSuspectNews (datagram);

    if (! news)
        return false;

    // A stranger's word would keep anybody's requests away.
    if (! known.contains (ip))
        return true;

    ++counts.heard;

    std::vector<mesh::SuspectRecord> acquitted;

    for (const auto& record : news->records)
    {
        take (now(), record, ip);

        if (const auto cleared = acquit (now(), record.request))
            acquitted.push_back (*cleared);
    }

    // Only to who told of it: many nodes may have answered a popular request.
    tell (ip, acquitted);
    armTelling();
    return true;
}

} // namespace copperlead::sidecar
