/** Selects the instance for a request from the load that the nodes of a few instances report.
    This is decision logic without I/O: it takes replies and time-outs and returns the next step.

    Only a few random instances are asked, and their replies are only as old as the network latency.
    This spreads the load of a large fleet better than older information about all instances
    (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing"; Wydrowski and others,
    "Load is not what you should balance", on probing before sending). Instances of the own zone are
    asked first. Further ones, including other zones of the region, are asked only if none of these
    is free, and other regions only if no instance of the region could answer in time.
*/
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "mesh/instance_directory.h"
#include "mesh/load_query.h"

namespace copperlead::mesh
{

enum class PollStep : std::uint8_t
{
    wait,               /**< Wait for further replies. */
    take,               /**< Send the request to best(). */
    widen,              /**< Ask further instances, including those in other zones. */
    refuse,             /**< All replies refuse, some for load; refusal() is the cause. */
    noUsableReply,      /**< There was no usable reply. */
    widenToOtherRegions /**< Also ask instances in other regions. */
};

inline constexpr std::string_view pollStepNames[] = { "wait",   "take",    "widen",
                                                      "refuse", "unheard", "widen_far" };

/** An instance that was asked, and its reply. */
struct PolledInstance
{
    Instance instance;
    double crossingMs = 0; /**< Cost of reaching its zone, expressed as time. */
    bool answered = false;
    LoadReply reply;
};

/** The poll for one attempt of one request. Not thread-safe. */
class InstancePoll
{
public:
    /** @param usualRunMs  the route's usual run time; a free instance that isn't much slower is
                           taken without waiting for the others
        @param largeBody   true if the request has a large body, so that the time to transfer it is
                           part of the cost
    */
    InstancePoll (double usualRunMs, bool largeBody);

    /** Allows the poll to ask instances in other regions.
        @param targetLeftMs  time left until the request's answer counts as late
    */
    void allowOtherRegions (double targetLeftMs);

    void ask (Instance instance, double crossingMs);

    /** @returns true if an instance of the own zone with this reply is taken at once */
    bool endsSearch (const LoadReply& reply) const;

    /** Processes a reply. One from an instance that wasn't asked, and a second one from the same
        instance, have no effect.
    */
    PollStep replied (const LoadReply& reply);

    /** Decides without the missing replies, since the wait is over. */
    PollStep waitExpired();

    /** @returns true if the poll widens because all that replied refuse, and some for their limits.
        A suspected instance may then be the only one with room.
    */
    bool widensPastLimits() const { return widenedPastLimits > 0; }

    const PolledInstance& best() const { return asked[bestIndex]; }
    HopCause refusal() const { return refusalCause; }

    /** The time after which the first of the instances that refuse as `instanceLimited` accepts a
        request.
    */
    double availableMs() const { return soonestAvailableMs.value_or (0); }
    const std::vector<PolledInstance>& all() const { return asked; }

private:
    double costOf (const LoadReply& reply, double crossingMs) const;
    double costOf (const PolledInstance& candidate) const;
    bool findBest();
    bool isGoodEnough (const LoadReply& reply, double crossingMs) const;
    void recordRefusal (const LoadReply& reply);
    bool mayWidenPastLimits (bool found);
    PollStep decide();
    std::size_t pending() const;
    bool isInTime (const PolledInstance& candidate) const;

    double usualRun;
    bool largeBody;
    bool mayWiden = true, mayWidenFar = false;
    double targetLeft = 0;
    std::vector<PolledInstance> asked;
    std::size_t bestIndex = 0;
    HopCause refusalCause = HopCause::none;
    std::optional<double> soonestAvailableMs; /**< Set once one refuses as `instanceLimited`. */
    int widenedPastLimits = 0;
};

} // namespace copperlead::mesh
