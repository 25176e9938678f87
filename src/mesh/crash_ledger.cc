#include "mesh/crash_ledger.h"

#include <algorithm>
#include <tuple>

namespace copperlead::mesh
{
namespace
{

// Suspects are kept for this many hold times after their last crash. A request that crashes an
// instance again when it is tried after its hold is then still known and held again at once.
constexpr int retentionInHolds = 2;

} // namespace

int CrashLedger::unclearedCrashes (const Suspect& suspect)
{
    return static_cast<int> (std::count_if (suspect.crashes.begin(), suspect.crashes.end(),
                                            [] (const auto& known) { return ! known.cleared; }));
}

Milliseconds CrashLedger::holdTime (const Suspect& suspect) const
{
    const int count = unclearedCrashes (suspect);

    if (limits.crashesUntilHold == 0 || count < limits.crashesUntilHold)
        return {};

    auto time = std::min (limits.firstHold, maxHold);

    for (int crash = limits.crashesUntilHold; crash < count; ++crash)
        time = std::min (time * holdGrowthFactor, maxHold);

    return time;
}

bool CrashLedger::isHeld (Timestamp now, const Suspect& suspect) const
{
    return now - suspect.lastCrashAt < holdTime (suspect);
}

bool CrashLedger::hasSuspectWithHead (std::uint64_t head) const
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

    if (known.size() > maxCrashesPerSuspect)
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
    evictExcess();

    if (held == wasHeld)
        return SuspectChange::none;

    return held ? SuspectChange::held : SuspectChange::cleared;
}

void CrashLedger::evictExcess()
{
    if (suspects.size() <= maxSuspects)
        return;

    suspects.erase (std::min_element (
        suspects.begin(), suspects.end(),
        [] (const auto& a, const auto& b)
        {
            return std::tuple (unclearedCrashes (a.second), a.second.lastCrashAt) <
                   std::tuple (unclearedCrashes (b.second), b.second.lastCrashAt);
        }));
}

std::optional<SuspectRecord> CrashLedger::clear (Timestamp now, const RequestDigest& request)
{
    const auto found = suspects.find (request);

    if (found == suspects.end() || unclearedCrashes (found->second) == 0)
        return std::nullopt;

    for (auto& known : found->second.crashes)
        known.cleared = true;

    return toRecord (now, *found);
}

std::optional<Hold> CrashLedger::holdOf (Timestamp now, const RequestDigest& request) const
{
    const auto found = suspects.find (request);

    if (found == suspects.end() || ! isHeld (now, found->second))
        return std::nullopt;

    const auto age = std::chrono::floor<Milliseconds> (now - found->second.lastCrashAt);
    return Hold{ request, unclearedCrashes (found->second), age, holdTime (found->second) - age };
}

SuspectRecord CrashLedger::toRecord (Timestamp now, const Suspects::value_type& item) const
{
    const auto age = std::chrono::floor<Milliseconds> (now - item.second.lastCrashAt);
    return { item.first, item.second.crashes, std::max (age, Milliseconds (0)) };
}

std::vector<SuspectRecord> CrashLedger::recordsToShare (Timestamp now,
                                                        std::size_t maxRecordCount) const
{
    std::vector<SuspectRecord> records;

    // Cleared crashes count here as well, so that the clearing also reaches every node.
    for (const auto& item : suspects)
        if (limits.crashesUntilHold > 0 &&
            item.second.crashes.size() >= static_cast<std::size_t> (limits.crashesUntilHold))
            records.push_back (toRecord (now, item));

    std::sort (records.begin(), records.end(),
               [] (const auto& a, const auto& b) { return a.age < b.age; });
    records.resize (std::min (records.size(), maxRecordCount));
    return records;
}

void CrashLedger::advance (Timestamp now)
{
    std::erase_if (suspects,
                   [&] (const auto& item)
                   {
                       const auto hold = std::max (holdTime (item.second), limits.firstHold);
                       return now - item.second.lastCrashAt > retentionInHolds * hold;
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
