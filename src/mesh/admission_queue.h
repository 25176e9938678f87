/** Admission at the node beside an instance: how many requests run there, which waits, which is
    refused. Deciding code: events and time in, decisions out.

    At most `limit` requests are at the instance, so that its own queue stays empty; the others wait
    here, where they have not run and can still be refused truthfully. The most urgent priority goes
    first, within it the earliest deadline. A request that can't be expected to finish in time is
    refused at once instead of being held.
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
    Timestamp deadline{};
    double usualRunMs = 0; /**< As the sender knows it; used until this node has learned its own. */
};

enum class AdmissionDecision : std::uint8_t
{
    run,
    wait,
    refuse
};

inline constexpr std::string_view admissionDecisionNames[] = {"run", "wait", "refuse"};

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
    std::uint64_t next();

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

    /** The expected wait of a request of this priority, in milliseconds. */
    double expectedWaitMs (int priority) const;

private:
    struct Rank
    {
        int priority;
        Timestamp deadline;
        std::uint64_t id;
        auto operator<=> (const Rank&) const = default;
    };

    struct Held
    {
        AdmissionRequest request;
        Timestamp latestStart;
    };

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
