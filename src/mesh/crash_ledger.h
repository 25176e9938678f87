/** What a node knows of requests under which instances have crashed, and which of them are held:
   sent to no instance any more. Every node keeps its own and merges what others tell. Merging is a
   union of crashes, so that order, loss and repetition of messages don't matter. Deciding code
   without I/O.

    A crash makes suspects of all that ran there, most of them innocent. A suspect is held once it
    stands in CrashLimits::most crashes, and cleared by any run of it that ends with an answer.
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
    /** Crashes from which a request is held; 0: none is. With two, the innocent of one crash
        are never held, and a request that comes again costs few instances.
    */
    int most = 2;

    /** For how long a request is held at first. It is tried again then, for the sake of those that
        were there by chance; each further crash holds it holdGrowth times as long.
    */
    Milliseconds hold{ 60'000 };
};

/** One crash that a request ran in. */
struct KnownCrash
{
    std::uint64_t crash = 0;
    bool cleared = false; /**< The request ran to its end since, so it wasn't the cause. */
};

/** What one node tells another about a suspect. */
struct SuspectRecord
{
    RequestDigest request;
    std::vector<KnownCrash> crashes;
    Milliseconds age{}; /**< Since the last crash. */
};

/** What a change of a suspect has come to. */
enum class SuspectChange : std::uint8_t
{
    none,
    held,   /**< Held from now on. */
    cleared /**< It was held. */
};

/** Why and for how long a request is held. */
struct Hold
{
    RequestDigest request;
    int crashes = 0;
    Milliseconds age{};  /**< Since the last crash. */
    Milliseconds left{}; /**< Until it may be tried again. */
};

/** Not thread-safe. */
class CrashLedger
{
public:
    /** Beyond them the oldest of those with the fewest crashes are forgotten. */
    static constexpr std::size_t mostSuspects = 1024;

    /** With a first hold of a minute, one that always crashes is tried four times in the first ten
        hours: after 1 min, 9 min, 73 min and 10 h.
    */
    static constexpr int holdGrowth = 8;
    static constexpr Milliseconds longestHold = std::chrono::hours (24);

    /** The latest are kept of one suspect. */
    static constexpr std::size_t mostCrashes = 8;

    explicit CrashLedger (const CrashLimits& limitsToUse)
        : limits (limitsToUse)
    {
    }

    bool empty() const { return suspects.empty(); }
    std::size_t size() const { return suspects.size(); }

    /** Whether some suspect has that RequestDigest::head. */
    bool knowsHead (std::uint64_t head) const;

    SuspectChange merge (Timestamp now, const SuspectRecord& record);

    /** A request was answered by an instance.
        @returns what to tell the others; nothing when it wasn't suspected
    */
    std::optional<SuspectRecord> clear (Timestamp now, const RequestDigest& request);

    /** Nothing when the request may be sent to an instance. */
    std::optional<Hold> holdOf (Timestamp now, const RequestDigest& request) const;

    /** Suspects that every node should know, the latest first. */
    std::vector<SuspectRecord> worthTelling (Timestamp now, std::size_t most) const;

    /** Forgets what is too old to matter. */
    void advance (Timestamp now);

private:
    struct Suspect
    {
        std::vector<KnownCrash> crashes; /**< The oldest first. */
        Timestamp lastCrashAt{};
    };

    using Suspects = std::map<RequestDigest, Suspect>;

    static int countOf (const Suspect& suspect);

    /** Zero when it has run in too few crashes. */
    Milliseconds holdTimeOf (const Suspect& suspect) const;
    static void mergeCrash (Suspect& suspect, const KnownCrash& crash);
    bool isHeld (Timestamp now, const Suspect& suspect) const;
    SuspectRecord recordOf (Timestamp now, const Suspects::value_type& item) const;
    void makeRoom();

    CrashLimits limits;
    Suspects suspects;
};

/** The records that tell of a crash: one for each request that ran in it. */
std::vector<SuspectRecord> recordsOf (const CrashReport& report);

} // namespace copperlead::mesh
