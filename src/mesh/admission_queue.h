/** Admission control at the node beside an instance: decides how many requests run there, which
    wait and which are refused. Does no I/O: takes events and times, and returns decisions.

    At most `limit` requests are at the instance, so that its own queue stays empty. The others wait
    here, where they have not run yet and can still be refused as not executed. The most urgent
    priority goes first. Within a priority, requests that can still meet their target go before late
    ones (Timeliness), and the earliest due time goes first. Under overload, a queue ordered by
    deadline alone makes every request late; this order keeps as many in time as the slots allow.

    A request counts as in time only if a run that takes longer than most would still meet its
    target, which is counted from its client's first attempt. The spread of run times is learned for
    each route. Late requests get the slots that no request in time needs, and wait only as long as
    such slots can be expected. A request that can't be expected to run is refused at once instead
    of being held. This forecast includes the more urgent requests that have yet to arrive,
    estimated from their recent arrival rate.
*/
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "mesh/instance_rate_limit.h"
#include "mesh/start_window.h"
#include "mesh/urgent_arrivals.h"

namespace copperlead::mesh
{

/** Whether the answer to a request is expected to meet its target. Values are in service order. */
enum class Timeliness : std::uint8_t
{
    inTime, /**< Expected to meet the target, counted from the client's first attempt. */
    late
};

inline constexpr std::string_view timelinessNames[] = { "in_time", "late" };

/** The properties of a request that admission depends on. */
struct AdmissionRequest
{
    std::uint64_t id = 0;
    std::string route;
    int priority = 0;
    Timestamp target{};    /**< An answer after it is late. */
    Timestamp deadline{};  /**< An answer after it is worthless. */
    double usualRunMs = 0; /**< The sender's estimate, used until this node has measured a run. */
};

enum class AdmissionDecision : std::uint8_t
{
    run,
    wait,
    refuse
};

/** What the queue would decide about a request that arrived now. */
struct AdmissionForecast
{
    AdmissionDecision decision = AdmissionDecision::refuse;
    double expectedMs = 0; /**< Time until the end of the run, including the wait. */
};

/** Not thread-safe. */
class AdmissionQueue
{
public:
    void setLimit (int newLimit) { limit = newLimit; }

    /** Limits how many runs start within a second, in addition to the limit on concurrent runs. */
    StartWindow& startWindow() { return starts; }
    const StartWindow& startWindow() const { return starts; }

    /** The limit that the instance states, in addition to the other two. Call reassess() after a
        change of it.
    */
    InstanceRateLimit& rateLimit() { return rate; }
    const InstanceRateLimit& rateLimit() const { return rate; }

    /** @returns true if a further request would have to wait for the instance's own limit */
    bool isRateLimited (Timestamp now) const { return rate.earliestStart (now, waiting()) > now; }

    /** The time until the instance's own limit lets a further request start. */
    Duration rateLimitDelay (Timestamp now) const { return rate.retryDelay (now, waiting()); }

    /** Ranks all waiting requests again. expire() then returns those that can no longer be expected
        to run in time for their deadline.
    */
    void reassess (Timestamp now);

    /** Returns what offer() would decide, without accepting the request. */
    AdmissionForecast forecast (Timestamp now, const AdmissionRequest& request) const;

    AdmissionDecision offer (Timestamp now, const AdmissionRequest& request);

    /** Removes and returns the waiting requests that can no longer be expected to run in time for
        their deadline.
    */
    std::vector<std::uint64_t> expire (Timestamp now);

    /** Removes and returns all waiting requests. */
    std::vector<std::uint64_t> clear();

    /** Selects the request to run next and counts it as running.
        @returns its id, or 0 if none can start now
    */
    std::uint64_t next (Timestamp now);

    /** Removes a request that was selected to run but wasn't sent. */
    void cancelStart (std::uint64_t id);

    /** Removes a waiting or running request that was cancelled.
        @returns true if it was waiting
    */
    bool cancel (std::uint64_t id);

    /** Records that a running request ended.
        @param runMs  its time at the instance; estimates are left unchanged if this is 0 or less
    */
    void finished (std::uint64_t id, double runMs);

    /** The earliest time at which expire() may have work; Timestamp::max() when nothing waits. */
    Timestamp nextExpiry() const;

    /** The time at which next() may return a request that only the limit on starts delays;
        Timestamp::max() when there is none.
    */
    Timestamp nextRateLimitedStart (Timestamp now) const;

    std::size_t running() const { return runningById.size(); }
    std::size_t waiting() const { return waitingByRank.size(); }
    std::size_t waitingLate() const { return lateWaiting; }
    double usualRunMs() const { return meanRunMs; }

    /** The expected wait, in milliseconds, of a request of this priority that is already late. */
    double expectedWaitMs (Timestamp now, int priority) const;

    /** Number of runs started so far, by the Timeliness of their requests at the start. */
    const std::array<std::uint64_t, std::size (timelinessNames)>& startedRuns() const
    {
        return startCounts;
    }

private:
    struct Rank
    {
        int priority;
        Timeliness timeliness;
        Timestamp due; /**< The target, or the deadline of a late request. */
        std::uint64_t id;
        auto operator<=> (const Rank&) const = default;
    };

    struct WaitingRequest
    {
        AdmissionRequest request;
        Timestamp latestStart; /**< After this time the rank no longer applies. */
        Rank rank;
    };

    /** Run time statistics of a route at this instance. */
    struct RunTimes
    {
        double meanMs = 0;
        double deviationMs = 0; /**< Mean absolute deviation. */
        Timestamp learnedAt{};  /**< Start of the latest run that was measured. */
    };

    struct Running
    {
        std::string route;
        double usualRunMs = 0; /**< The sender's estimate. */
        Timestamp startedAt{};
    };

    bool hasFreeSlot() const { return static_cast<int> (running()) < limit; }
    bool canStartNow (Timestamp now) const;
    Timestamp earliestStart (Timestamp now, std::size_t before) const;
    void recordStart (Timestamp now);
    double expectedWaitBehindMs (Timestamp now, std::size_t before, int priority) const;
    std::size_t countBefore (const Rank& rank) const;
    double learnedRunMsOf (const AdmissionRequest& request) const;

    /** As learnedRunMsOf(), but decays towards the sender's estimate while no run is measured. */
    double decayedRunMsOf (Timestamp now, const AdmissionRequest& request) const;

    /** @param usualRunMs  the sender's estimate, towards which the learned mean decays */
    static double decayedMeanMs (Timestamp now, const RunTimes& known, double usualRunMs);
    double optimisticRunMs (const AdmissionRequest& request) const;
    double conservativeRunMs (const AdmissionRequest& request) const;
    Timeliness timelinessAt (Timestamp begin, const AdmissionRequest& request) const;
    bool assignRank (Timestamp now, const AdmissionRequest& request, WaitingRequest& entry) const;
    bool lateRequestMayWait (Timestamp now, Timestamp latestStart) const;
    void enqueue (Timestamp now, const WaitingRequest& entry);
    void removeWaiting (const WaitingRequest& entry);
    void reclassifyOverdue (Timestamp now);
    void countStart (Timestamp now, const Rank& rank);
    void updateLateStartInterval (Timestamp now);

    UrgentArrivals arrivals;
    int limit = 1;
    StartWindow starts;
    InstanceRateLimit rate;
    double meanRunMs = 0;
    double lateStartIntervalMs = 0; /**< Estimated time between starts of late requests. */

    /** When the last late request started, or one began to wait while no other late one did. */
    Timestamp lateIntervalBegin{};

    std::size_t lateWaiting = 0;
    std::array<std::uint64_t, std::size (timelinessNames)> startCounts{};
    std::unordered_map<std::string, RunTimes> runsByRoute;
    std::unordered_map<std::uint64_t, Running> runningById;
    std::unordered_map<std::uint64_t, WaitingRequest> waitingById;
    std::set<Rank> waitingByRank;
    std::set<std::pair<Timestamp, std::uint64_t>> byLatestStart;
    std::vector<std::uint64_t> expired; /**< Removed, but not yet returned by expire(). */
};

} // namespace copperlead::mesh
