#include "mesh/avoidance.h"

#include <algorithm>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr Milliseconds stoppingAvoidance{ 1500 };
constexpr double slowAfterRuns = 3, minSlowMs = 30;
// A hedge adds its own arrival and that of the slow attempt, which isn't counted yet.
constexpr int arrivalsOfHedge = 2;

} // namespace

Milliseconds avoidanceFor (HopCause cause)
{
    switch (cause)
    {
    case HopCause::instanceLeaving:
    case HopCause::otherService:
    case HopCause::nodeStopping:
    case HopCause::zoneEvacuated:
        return stoppingAvoidance;
    case HopCause::instanceDown:
    case HopCause::instanceUnknown:
    case HopCause::otherInstance:
        return lostAvoidance;
    default:
        return {};
    }
}

Duration slowAfter (double usualMs, double expectedMs)
{
    return fromMilliseconds (
        std::max ({ slowAfterRuns * usualMs, minSlowMs, expectedMs + 2 * usualMs }));
}

bool mayHedge (const RetryFacts& facts, int active)
{
    return facts.mayRepeat && ! facts.isHeld && active == 1 &&
           facts.arrivals + arrivalsOfHedge <= facts.maxAttempts && facts.usualRun < facts.timeLeft;
}

} // namespace copperlead::mesh
