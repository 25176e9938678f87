/** Records which requests were running when instances crashed, and decides which of them are held.
    A held request is sent to no instance until its hold ends. Every node keeps its own ledger and
    merges the records that it receives from other nodes. Merging forms the union of the crashes,
    so that order, loss and repetition of messages don't matter. This code decides only; it does
    no I/O.

    All requests that ran at an instance when it crashed become suspects, although most of them
    didn't cause the crash. A suspect is held once it has run in as many crashes as CrashLimits
    specifies. Any run of it that ends with an answer clears it.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "mesh/crash_watch.h"

namespace copperlead::mesh
{

struct CrashLimits
{
    /** Number of crashes from which on a request is held; 0 disables holding. With a limit of two,
        requests that merely ran in a single crash are never held, and a crashing request that is
        repeated still costs only a few instances.
    */
    int crashesUntilHold = 2;

    /** Length of the first hold. The request may be tried again afterwards, because it may have
        run in the crashes by chance. Each further crash makes the hold holdGrowthFactor times as
        long.
    */
    Milliseconds firstHold{ 60'000 };
};

/** One crash that a request ran in. */
struct KnownCrash
{
    std::uint64_t crash = 0;
    bool cleared = false; /**< The request has since run to its end, so it wasn't the cause. */
};

/** The state of a suspect as one node sends it to another. */
struct SuspectRecord
{
    RequestDigest request;
    std::vector<KnownCrash> crashes;
    Milliseconds age{}; /**< Time since the last crash. */
};

/** How a merged record changed the state of a suspect. */
enum class SuspectChange : std::uint8_t
{
    none,
    held,   /**< The request is held from now on. */
    cleared /**< The request was held and no longer is. */
};

/** Why and for how long a request is held. */
struct Hold
{
    RequestDigest request;
    int crashes = 0;
    Milliseconds age{};       /**< Time since the last crash. */
    Milliseconds remaining{}; /**< Time until the request may be tried again. */
};

/** Not thread-safe. */
class CrashLedger
{
public:
    /** Above this number, the suspect with the fewest uncleared crashes is evicted; among equals,
        the one whose last crash is the oldest.
    */
    static constexpr std::size_t maxSuspects = 1024;

    /** Each further crash makes the hold this many times as long. With a first hold of one minute,
        a request that always crashes its instance is tried four times in the first ten hours:
        after 1 min, 9 min, 73 min and 10 h.
    */
    static constexpr int holdGrowthFactor = 8;
    static constexpr Milliseconds maxHold = std::chrono::hours (24);

    /** The crashes added last are kept of each suspect. */
    static constexpr std::size_t maxCrashesPerSuspect = 8;

    explicit CrashLedger (const CrashLimits& limitsToUse)
        : limits (limitsToUse)
    {
    }

    bool empty() const { return suspects.empty(); }
    std::size_t size() const { return suspects.size(); }

    /** Returns whether any suspect has this RequestDigest::head. */
    bool hasSuspectWithHead (std::uint64_t head) const;

    /** Adds the crashes of a record, received from another node or made at this one. */
    SuspectChange merge (Timestamp now, const SuspectRecord& record);

    /** Clears a request that an instance has answered.
        @returns the record to send to the other nodes; nothing when the request wasn't suspected
    */
    std::optional<SuspectRecord> clear (Timestamp now, const RequestDigest& request);

    /** Returns nothing when the request may be sent to an instance. */
    std::optional<Hold> holdOf (Timestamp now, const RequestDigest& request) const;

    /** Returns the suspects that every node should know, those with the latest crash first. */
    std::vector<SuspectRecord> recordsToShare (Timestamp now, std::size_t maxRecordCount) const;

    /** Removes suspects whose last crash is too long ago. */
    void advance (Timestamp now);

private:
    struct Suspect
    {
        std::vector<KnownCrash> crashes; /**< In the order in which they were added. */
        Timestamp lastCrashAt{};
    };

    using Suspects = std::map<RequestDigest, Suspect>;

    static int unclearedCrashes (const Suspect& suspect);

    /** Returns zero when the request has run in too few crashes to be held. */
    Milliseconds holdTime (const Suspect& suspect) const;
    static void mergeCrash (Suspect& suspect, const KnownCrash& crash);
    bool isHeld (Timestamp now, const Suspect& suspect) const;
    SuspectRecord toRecord (Timestamp now, const Suspects::value_type& item) const;
    void evictExcess();

    CrashLimits limits;
    Suspects suspects;
};

/** Returns one record for each request that ran in a crash. */
std::vector<SuspectRecord> recordsOf (const CrashReport& report);

} // namespace copperlead::mesh
