#include "mesh/crash_ledger.h"

#include <algorithm>
#include <tuple>

namespace copperlead::mesh
{
namespace
{

// A request that crashes again when it is tried after its hold is held again at once.
constexpr int memoryInHolds = 2;

} // namespace

int CrashLedger::countOf (const Suspect& suspect)
{
    return static_cast<int> (std::count_if (suspect.crashes.begin(), suspect.crashes.end(),
                                            [] (const auto& known) { return ! known.cleared; }));
}

Milliseconds CrashLedger::holdTimeOf (const Suspect& suspect) const
{
    const int count = countOf (suspect);

    if (limits.most == 0 || count < limits.most)
        return {};

    auto time = std::min (limits.hold, longestHold);

    for (int further = limits.most; further < count; ++further)
        time = std::min (time * holdGrowth, longestHold);

    return time;
}

bool CrashLedger::isHeld (Timestamp now, const Suspect& suspect) const
{
    return now - suspect.lastCrashAt < holdTimeOf (suspect);
}

bool CrashLedger::knowsHead (std::uint64_t head) const
{
    const auto found = suspects.lower_bound ({ head, 0 });
    return found != suspects.end() && found->first.head == head;
}

void CrashLedger::mergeCrash (Suspect& suspect, const KnownCrash& crash)
{
    auto& known = suspect.crashes;
    const auto same = std::find_if (known.begin(), known.end(),
                                    [&] (const auto& k) { return k.crash == crash.crash; });

    if (same != known.end())
    {
        same->cleared = same->cleared || crash.cleared;
        return;
    }

    known.push_back (crash);

    if (known.size() > mostCrashes)
        known.erase (known.begin());
}

SuspectChange CrashLedger::merge (Timestamp now, const SuspectRecord& record)
{
    auto& suspect = suspects[record.request];
    const bool wasHeld = isHeld (now, suspect);

    for (const auto& crash : record.crashes)
        mergeCrash (suspect, crash);

    suspect.lastCrashAt = std::max<Timestamp> (suspect.lastCrashAt, now - record.age);
    const bool held = isHeld (now, suspect);
    makeRoom();

    if (held == wasHeld)
        return SuspectChange::none;

    return held ? SuspectChange::held : SuspectChange::cleared;
}

void CrashLedger::makeRoom()
{
    if (suspects.size() <= mostSuspects)
        return;

    suspects.erase (
        std::min_element (suspects.begin(), suspects.end(),
                          [] (const auto& a, const auto& b)
                          {
                              return std::tuple (countOf (a.second), a.second.lastCrashAt) <
                                     std::tuple (countOf (b.second), b.second.lastCrashAt);
                          }));
}

std::optional<SuspectRecord> CrashLedger::clear (Timestamp now, const RequestDigest& request)
{
    const auto found = suspects.find (request);

    if (found == suspects.end() || countOf (found->second) == 0)
        return std::nullopt;

    for (auto& known : found->second.crashes)
        known.cleared = true;

    return recordOf (now, *found);
}

std::optional<Hold> CrashLedger::holdOf (Timestamp now, const RequestDigest& request) const
{
    const auto found = suspects.find (request);

    if (found == suspects.end() || ! isHeld (now, found->second))
        return std::nullopt;

    const auto age = std::chrono::floor<Milliseconds> (now - found->second.lastCrashAt);
    return Hold{ request, countOf (found->second), age, holdTimeOf (found->second) - age };
}

SuspectRecord CrashLedger::recordOf (Timestamp now, const Suspects::value_type& item) const
{
    const auto age = std::chrono::floor<Milliseconds> (now - item.second.lastCrashAt);
    return { item.first, item.second.crashes, std::max (age, Milliseconds (0)) };
}

std::vector<SuspectRecord> CrashLedger::worthTelling (Timestamp now, std::size_t most) const
{
    std::vector<SuspectRecord> records;

    // Cleared crashes count here, so that their clearing gets to everybody, too.
    for (const auto& item : suspects)
        if (limits.most > 0 && item.second.crashes.size() >= static_cast<std::size_t> (limits.most))
            records.push_back (recordOf (now, item));

    std::sort (records.begin(), records.end(),
               [] (const auto& a, const auto& b) { return a.age < b.age; });
    records.resize (std::min (records.size(), most));
    return records;
}

void CrashLedger::advance (Timestamp now)
{
    std::erase_if (suspects,
                   [&] (const auto& item)
                   {
                       const auto hold = std::max (holdTimeOf (item.second), limits.hold);
                       return now - item.second.lastCrashAt > memoryInHolds * hold;
                   });
}

std::vector<SuspectRecord> recordsOf (const CrashReport& report)
{
    std::vector<SuspectRecord> records;

    for (const auto& request : report.requests)
        records.push_back ({ request, { { report.crash, false } }, {} });

    return records;
}

} // namespace copperlead::mesh
