/** Decides, from what the nodes beside some instances say of their load, which instance gets a
    request. Deciding code without I/O: answers and the end of the wait in, the next step out.

    Few instances are asked, drawn at random, and the answers are as young as the way from there:
    that spreads the load of a large fleet better than old knowledge of all instances (Mitzenmacher,
    "The Power of Two Choices in Randomized Load Balancing"; Wydrowski and others, "Load is not what
    you should balance", on asking before sending). Some of the own zone are asked first; further
    ones, of other zones of the region, too, only when none of these is free; those of other regions
    only when none of the region could answer in time.
*/
#pragma once

#include <string>
#include <vector>

#include "mesh/instance_directory.h"
#include "mesh/load_query.h"

namespace copperlead::mesh
{

enum class PollStep : std::uint8_t
{
    wait,    /**< For further answers. */
    take,    /**< best() gets the request. */
    widen,   /**< Ask further instances, of other zones, too. */
    refuse,  /**< All that answered refuse; refusal() says why. */
    unheard, /**< Nobody answered anything of use. */
    widenFar /**< Ask instances of other regions, too. */
};

inline constexpr std::string_view pollStepNames[] = { "wait",   "take",    "widen",
                                                      "refuse", "unheard", "widen_far" };

/** One instance that was asked, and its answer. */
struct PolledInstance
{
    Instance instance;
    double crossingMs = 0; /**< What it costs to cross to its zone, as time. */
    bool answered = false;
    LoadReply reply;
};

/** Of one attempt of one request. Not thread-safe. */
class InstancePoll
{
public:
    /** @param usualRunMs  of the route; an instance that is free and not much slower is taken
                           without waiting for the others
        @param largeBody   the request has a large body, so that links count
    */
    InstancePoll (double usualRunMs, bool largeBody);

    /** There are other regions, which may be asked, too.
        @param targetLeftMs  until the request's answer counts as late
    */
    void allowOtherRegions (double targetLeftMs);

    void ask (Instance instance, double crossingMs);

    /** An instance of the own zone that answers so is taken without asking any other. */
    bool endsSearch (const LoadReply& reply) const;

    /** An answer came. One of an instance that wasn't asked, or a second one, changes nothing. */
    PollStep replied (const LoadReply& reply);

    /** Waited for long enough. */
    PollStep timeUp();

    const PolledInstance& best() const { return asked[bestIndex]; }
    HopCause refusal() const { return refusalCause; }
    const std::vector<PolledInstance>& all() const { return asked; }

private:
    double costOf (const LoadReply& reply, double crossingMs) const;
    double costOf (const PolledInstance& candidate) const;
    bool findBest();
    bool isGoodEnough (const LoadReply& reply, double crossingMs) const;
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
};

} // namespace copperlead::mesh
