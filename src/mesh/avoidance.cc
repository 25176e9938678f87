#include "mesh/avoidance.h"

#include <algorithm>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr Milliseconds stoppingAvoidance{ 1500 };
constexpr double slowAfterRuns = 3, leastSlowMs = 30;
constexpr int arrivalsOfHedge = 2; // The slow attempt's, which isn't counted yet, and its own.

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
        std::max ({ slowAfterRuns * usualMs, leastSlowMs, expectedMs + 2 * usualMs }));
}

bool mayHedge (const RetryFacts& facts, int active)
{
    return facts.mayRepeat && ! facts.isHeld && active == 1 &&
           facts.arrivals + arrivalsOfHedge <= facts.maxAttempts && facts.usualRun < facts.timeLeft;
}

} // namespace copperlead::mesh
