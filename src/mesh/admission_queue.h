/** Admission at the node beside an instance: how many requests run there, which waits, which is
    refused. Deciding code: events and time in, decisions out.

    At most `limit` requests are at the instance, so that its own queue stays empty; the others wait
    here, where they have not run and can still be refused truthfully. The most urgent priority goes
    first; within it those that can still meet their target latency, the earliest target first; then
    the others, the earliest deadline first. Under overload a queue by deadline alone makes every
    request late; this one keeps as many in time as the slots allow. A request that can't be
   expected to finish by its deadline is refused at once instead of being held.
*/
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace copperlead::mesh
{

/** A request as the queue sees it. */
struct AdmissionRequest
{
    std::uint64_t id = 0;
    std::string route;
    int priority = 0;
    Timestamp target{};    /**< An answer after it is late. */
    Timestamp deadline{};  /**< An answer after it is worthless. */
    double usualRunMs = 0; /**< As the sender knows it; used until this node has learned its own. */
};

enum class AdmissionDecision : std::uint8_t
{
    run,
    wait,
    refuse
};

/** Not thread-safe. */
class AdmissionQueue
{
public:
    void setLimit (int newLimit) { limit = newLimit; }

    AdmissionDecision offer (Timestamp now, const AdmissionRequest& request);

    /** Takes out the waiting requests that can no longer finish in time. */
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

    std::size_t running() const { return runningById.size(); }
    std::size_t waiting() const { return order.size(); }
    double usualRunMs() const { return meanRunMs; }

    /** The expected wait, in milliseconds, of a request of this priority that is already late. */
    double expectedWaitMs (int priority) const;

private:
    struct Rank
    {
        int priority;
        bool late;
        Timestamp due; /**< The target, or the deadline of those that are late. */
        std::uint64_t id;
        auto operator<=> (const Rank&) const = default;
    };

    struct Held
    {
        AdmissionRequest request;
        Timestamp latestStart;
        Rank rank;
    };

    double waitBehindMs (std::size_t before) const;
    std::size_t countBefore (const Rank& rank) const;
    Timestamp latestStart (const AdmissionRequest& request, Timestamp due) const;
    void demoteLate (Timestamp now);

    double runMsOf (const AdmissionRequest& request) const;
    void forget (const Held& held);

    int limit = 1;
    double meanRunMs = 0;
    std::unordered_map<std::string, double> runMsByRoute;
    std::unordered_map<std::uint64_t, std::string> runningById; /**< The route of each. */
    std::unordered_map<std::uint64_t, Held> waitingById;
    std::set<Rank> order;
    std::set<std::pair<Timestamp, std::uint64_t>> byLatestStart;
};

} // namespace copperlead::mesh
