/** Distinguishes a crash of the instance beside a node from answers that were merely lost, and
    reports which requests ran there. A connection that ends without an answer doesn't prove a
    crash; the instance must also be gone or have been restarted. This code decides only; it does no
    I/O.
*/
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "mesh/request_digest.h"

namespace copperlead::mesh
{

/** The requests that ran at an instance when it crashed; any of them may be the cause. */
struct CrashReport
{
    std::uint64_t crash = 0; /**< Identifies this crash among all others. */
    std::vector<RequestDigest> requests;
};

/** Not thread-safe. */
class CrashWatch
{
public:
    /** Maximum number of unanswered runs that are kept. The first ones after the instance was last
        known to be alive are kept and later ones dropped, because requests that are sent to an
        instance that is already gone may look like runs as well.
    */
    static constexpr std::size_t maxRuns = 256;

    /** All connections of an instance end at once when it crashes, but a busy node may handle their
        ends, and answers that were written before the crash, up to this long apart.
    */
    static constexpr Milliseconds maxHandlingDelay{ 150 };

    /** Time for which an aborted run may still crash its instance. */
    static constexpr Milliseconds delayedCrashTime{ 500 };

    /** Number of unanswered health probes since the last answer after which the instance counts as
        gone. A single one may be lost on the way, or be closed by an instance that is merely
        overloaded.
    */
    static constexpr int failedProbesUntilGone = 2;

    /** @param seed  must differ between nodes, and between two starts of the same node */
    explicit CrashWatch (std::uint64_t seed)
        : crashSeed (seed)
    {
    }

    /** Records a run that ended without an answer of the instance. */
    void recordLostAnswer (Timestamp now, Timestamp startedAt, const RequestDigest& request);

    /** Records a run that was aborted at the instance. */
    void recordAbortedRun (Timestamp now, Timestamp startedAt, const RequestDigest& request);

    /** Records that the instance has now answered a request that was sent to it at the given time.
        Runs that ended before that time, or more than maxHandlingDelay ago, weren't ended by a
        crash. If the request was sent after a crash was detected, that crash is over; it must have
        been reported before this call.
    */
    void recordAnswer (Timestamp now, Timestamp sentAt);

    /** Records that nothing listens at the instance's address any longer. */
    void instanceGone (Timestamp now);

    /** Records that another incarnation has the address. The time when the former one ended is
        unknown.
    */
    void instanceReplaced (Timestamp now);

    /** Records that a health probe was accepted by the instance's port and ended without an answer.
        Nothing else shows that an instance is gone if its port belongs to another program or still
        accepts connections.
        @param oldestRun  start of the oldest run in progress; if it began before the first
                          unanswered run ended, the instance is still alive
    */
    void recordFailedProbe (Timestamp now, Timestamp oldestRun);

    /** Starts a new incarnation: only runs that start from now on belong to it. A crash of the
        former one must have been reported before this call.
    */
    void instanceRestarted (Timestamp now);

    /** Returns whether there are unanswered runs and it isn't known yet if the instance crashed. */
    bool hasUnexplainedRuns() const { return crash == 0 && ! runs.empty(); }

    /** Returns the part of a crash that hasn't been reported yet. A further report of the same
        crash holds the requests that became known after the previous one.
    */
    std::optional<CrashReport> takeReport();

    /** Returns the number of crashes detected since the start of the node. */
    std::uint64_t count() const { return crashes; }

private:
    struct UnansweredRun
    {
        RequestDigest request;
        Timestamp startedAt{}, endedAt{};
        bool wasAborted = false;
    };

    void add (const UnansweredRun& run);
    void beginCrash (Timestamp now, bool isDetectedLate);
    void forgetCrash();
    bool isOutlived (const UnansweredRun& run) const;
    Timestamp crashTime() const;

    std::uint64_t crashSeed, crashes = 0;
    std::uint64_t crash = 0; /**< The current crash; 0 if none is known. */
    Timestamp detectedAt{};
    Timestamp crashedAt = Timestamp::max(); /**< Time of the current crash; max() until reported. */
    bool wasDetectedLate = false;           /**< Requests may have been sent there after it. */
    int failedProbes = 0;                   /**< Number since the last answer. */
    Timestamp incarnationStart = Timestamp::min(); /**< Earlier runs belong to a former one. */
    std::deque<UnansweredRun> runs;
};

} // namespace copperlead::mesh
