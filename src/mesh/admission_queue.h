/** Admission at the node beside an instance: how many requests run there, which waits, which is
    refused. Deciding code: events and time in, decisions out.

    At most `limit` requests are at the instance, so that its own queue stays empty; the others wait
    here, where they have not run and can still be refused truthfully. The most urgent priority goes
    first; within it by what an answer is still worth (see Timeliness), the earliest due first.
    Under overload a queue by deadline alone makes every request late; this one keeps as many in
    time as the slots allow.

    A request counts as in time only if a run that takes longer than most would still meet its
    target, which counts from its client's first attempt; the spread of run times is learned for
    each route. Late requests get the slots that nothing in time wants, and wait only as long as
    such slots can be expected; what can't be expected to run is refused at once instead of being
    held. That forecast counts the more urgent requests that are still to come, by how often they
    came lately.
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
#include "mesh/start_window.h"
#include "mesh/urgent_arrivals.h"

namespace copperlead::mesh
{

/** What an answer to a waiting request is expected to be, in the order of service. */
enum class Timeliness : std::uint8_t
{
    inTime, /**< Within its target, counted from its client's first attempt. */
    late
};

inline constexpr std::string_view timelinessNames[] = { "in_time", "late" };

/** A request as the queue sees it. */
struct AdmissionRequest
{
    std::uint64_t id = 0;
    std::string route;
    int priority = 0;
    Timestamp target{};    /**< An answer after it is late. */
    Timestamp deadline{};  /**< An answer after it is worthless. */
    double usualRunMs = 0; /**< As the sender knows it; used until this node has learned. */
};

enum class AdmissionDecision : std::uint8_t
{
    run,
    wait,
    refuse
};

/** What would become of a request that came now. */
struct AdmissionForecast
{
    AdmissionDecision decision = AdmissionDecision::refuse;
    double expectedMs = 0; /**< Until its end, its wait included. */
};

/** Not thread-safe. */
class AdmissionQueue
{
public:
    void setLimit (int newLimit) { limit = newLimit; }

    /** Bounds how many runs begin within a second, beside the limit on those at a time. */
    StartWindow& startWindow() { return starts; }
    const StartWindow& startWindow() const { return starts; }

    /** What offer() would decide, without taking the request. */
    AdmissionForecast forecast (Timestamp now, const AdmissionRequest& request) const;

    AdmissionDecision offer (Timestamp now, const AdmissionRequest& request);

    /** Takes out the waiting requests that can no longer be expected to run in time for their
        deadline.
    */
    std::vector<std::uint64_t> expire (Timestamp now);

    /** Takes every waiting request out. */
    std::vector<std::uint64_t> clear();

    /** @returns the request to run next, now counted as running; 0: none waits or no slot is free
     */
    std::uint64_t next (Timestamp now);

    /** A waiting or running request was cancelled. @returns true if it was waiting */
    bool cancel (std::uint64_t id);

    /** A running request ended. @param runMs  its time at the instance; 0 or less teaches nothing
     */
    void finished (std::uint64_t id, double runMs);

    /** When expire() has something to do at the earliest; the largest time when nothing waits. */
    Timestamp nextExpiry() const;

    /** When next() may give a request that only the bound on starts holds back; the largest time
        when there is none.
    */
    Timestamp nextBoundedStart (Timestamp now) const;

    std::size_t running() const { return runningById.size(); }
    std::size_t waiting() const { return order.size(); }
    std::size_t waitingLate() const { return lateWaiting; }
    double usualRunMs() const { return meanRunMs; }

    /** The expected wait, in milliseconds, of a request of this priority that is already late. */
    double expectedWaitMs (Timestamp now, int priority) const;

    /** Runs begun since the start, by what their requests were then. */
    const std::array<std::uint64_t, std::size (timelinessNames)>& begun() const { return begins; }

private:
    struct Rank
    {
        int priority;
        Timeliness timeliness;
        Timestamp due; /**< The target, or the deadline of those that are late. */
        std::uint64_t id;
        auto operator<=> (const Rank&) const = default;
    };

    struct Held
    {
        AdmissionRequest request;
        Timestamp latestStart; /**< After which it isn't what its rank says. */
        Rank rank;
    };

    /** Learned of a route's runs at this instance. */
    struct RunTimes
    {
        double meanMs = 0;
        double deviationMs = 0; /**< Mean absolute deviation. */
        Timestamp learnedAt{};  /**< When the latest run that taught something began. */
    };

    struct Running
    {
        std::string route;
        double usualRunMs = 0; /**< As the sender knows it. */
        Timestamp begunAt{};
    };

    bool hasFreeSlot() const { return static_cast<int> (running()) < limit; }
    bool mayRunAtOnce (Timestamp now) const;
    double waitBehindMs (Timestamp now, std::size_t before, int priority) const;
    std::size_t countBefore (const Rank& rank) const;
    double usualRunOf (const AdmissionRequest& request) const;

    /** As above, with part of what no run has confirmed lately forgotten. */
    double presentRunOf (Timestamp now, const AdmissionRequest& request) const;

    /** @param usualRunMs  of the sender, towards which the learned time moves */
    static double fadedMeanMs (Timestamp now, const RunTimes& known, double usualRunMs);
    double shortRunMs (const AdmissionRequest& request) const;
    double longRunMs (const AdmissionRequest& request) const;
    Timeliness timelinessAt (Timestamp begin, const AdmissionRequest& request) const;
    bool place (Timestamp now, const AdmissionRequest& request, Held& held) const;
    bool lateMayWait (Timestamp now, Timestamp latestStart) const;
    void hold (Timestamp now, const Held& held);
    void forget (const Held& held);
    void review (Timestamp now);
    void countBegin (Timestamp now, const Rank& rank);
    void learnLateGap (Timestamp now);

    UrgentArrivals arrivals;
    int limit = 1;
    StartWindow starts;
    double meanRunMs = 0;
    double lateGapMs = 0;   /**< Usual time between begins of late requests. */
    Timestamp lateSlotAt{}; /**< When the last late one began, or began to wait. */
    std::size_t lateWaiting = 0;
    std::array<std::uint64_t, std::size (timelinessNames)> begins{};
    std::unordered_map<std::string, RunTimes> runsByRoute;
    std::unordered_map<std::uint64_t, Running> runningById;
    std::unordered_map<std::uint64_t, Held> waitingById;
    std::set<Rank> order;
    std::set<std::pair<Timestamp, std::uint64_t>> byLatestStart;
    std::vector<std::uint64_t> expired; /**< Taken out, and not yet told of. */
};

} // namespace copperlead::mesh
