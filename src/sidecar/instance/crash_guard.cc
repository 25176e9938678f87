#include "sidecar/instance/crash_guard.h"

#include <algorithm>
#include <utility>

namespace copperlead::sidecar
{
namespace
{

// Nodes that have just started, or that a partition had separated, learn which requests are held
// within about a second: in this interval each node receives two updates on average, in a fleet of
// any size.
constexpr Milliseconds resendInterval{ 1000 };
constexpr std::size_t nodesPerResend = 2;

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
    knownNodes.clear();

    // The node beside an instance that is no longer listed still accepts requests.
    for (const auto& [address, listed] : directory.byAddress)
        if (listed.instance.address.ip != ownIp)
            knownNodes.insert (listed.instance.address.ip);

    otherNodes.assign (knownNodes.begin(), knownNodes.end());
}

std::optional<mesh::RequestDigest>
CrashGuard::digestIfSuspect (const mesh::RequestIdentity& request) const
{
    // The digest covers the body, so it is computed only for requests with a suspect's head.
    if (ledger.empty() || ! ledger.hasSuspectWithHead (headDigestOf (request)))
        return std::nullopt;

    return digestOf (request);
}

std::optional<mesh::Hold> CrashGuard::holdOf (const mesh::RequestIdentity& request) const
{
    const auto digest = digestIfSuspect (request);
    return digest ? ledger.holdOf (now(), *digest) : std::nullopt;
}

void CrashGuard::crashed (const mesh::CrashReport& report)
{
    auto records = recordsOf (report);
    ownCrashes.insert (report.crash);

    for (auto& record : records)
    {
        mergeRecord (now(), record, ownIp);
        record = clearIfAnswered (now(), record.request).value_or (record);
    }

    sendToAll (records);
    armResendTimer();
}

void CrashGuard::answered (const mesh::RequestIdentity& request)
{
    const auto digest = digestOf (request);
    answers.observe (now(), digest);

    if (const auto record = clearIfAnswered (now(), digest))
        sendToAll ({ *record });
}

std::optional<mesh::SuspectRecord> CrashGuard::clearIfAnswered (Timestamp at,
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

void CrashGuard::mergeRecord (Timestamp at, const mesh::SuspectRecord& record, std::string_view by)
{
    const auto change = ledger.merge (at, record);

    if (change == mesh::SuspectChange::held)
        return logChange (at, EventKind::suspectHeld, record, by);

    if (change != mesh::SuspectChange::cleared)
        return;

    logChange (at, EventKind::suspectCleared, record, by);

    // The node that reported a crash to all nodes also reports that this request didn't cause it.
    if (std::any_of (record.crashes.begin(), record.crashes.end(),
                     [this] (const auto& known) { return ownCrashes.contains (known.crash); }))
        sendToAll ({ record });
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

void CrashGuard::sendRecords (const std::string& ip,
                              const std::vector<mesh::SuspectRecord>& records)
{
    if (! send)
        return;

    for (std::size_t from = 0; from < records.size(); from += mesh::SuspectUpdate::maxRecords)
    {
        const auto to = std::min (records.size(), from + mesh::SuspectUpdate::maxRecords);
        mesh::SuspectUpdate update;
        update.records.assign (records.begin() + static_cast<std::ptrdiff_t> (from),
                               records.begin() + static_cast<std::ptrdiff_t> (to));
        ++counts.updatesSent;
        send (ip, mesh::encode (update));
    }
}

void CrashGuard::sendToAll (const std::vector<mesh::SuspectRecord>& records)
{
    for (const auto& ip : otherNodes)
        sendRecords (ip, records);
}

void CrashGuard::armResendTimer()
{
    if (! ledger.empty())
        timer.arm (now() + resendInterval,
                   [weak = weak_from_this()]
                   {
                       if (const auto self = weak.lock())
                           self->sendToRandomNodes();
                   });
}

void CrashGuard::sendToRandomNodes()
{
    ledger.advance (now());
    const auto records = ledger.recordsToShare (now(), mesh::SuspectUpdate::maxRecords);

    if (! records.empty() && ! otherNodes.empty())
    {
        std::uniform_int_distribution<std::size_t> any (0, otherNodes.size() - 1);

        for (std::size_t i = 0; i < nodesPerResend; ++i)
            sendRecords (otherNodes[any (random)], records);
    }

    armResendTimer();
}

bool CrashGuard::receive (const std::string& ip, std::string_view datagram)
{
    const auto update = mesh::decodeSuspectUpdate (datagram);

    if (! update)
        return false;

    // Updates from unknown senders are ignored, since they could block any request.
    if (! knownNodes.contains (ip))
        return true;

    ++counts.updatesReceived;

    std::vector<mesh::SuspectRecord> clearedRecords;

    for (const auto& record : update->records)
    {
        mergeRecord (now(), record, ip);

        if (const auto cleared = clearIfAnswered (now(), record.request))
            clearedRecords.push_back (*cleared);
    }

    // Only the sender is answered, since many nodes may have answered a frequent request.
    sendRecords (ip, clearedRecords);
    armResendTimer();
    return true;
}

} // namespace copperlead::sidecar
