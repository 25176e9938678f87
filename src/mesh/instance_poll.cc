#include "mesh/instance_poll.h"

#include <algorithm>
#include <utility>

namespace copperlead::mesh
{
namespace
{

// Added to the cost of an instance with a queue, as a share of the usual run time, since the wait
// may be longer than forecast.
constexpr double queueRiskShare = 0.5;
// Cost of a failed run in usual run times: it uses up much of the time that a request has.
constexpr double failedRunCost = 10;
// Above this share of failed runs other instances are asked first.
constexpr double tolerableFailureShare = 0.1;
// An instance is taken at once up to this multiple of the usual run time. The differences between
// instances are larger than that.
constexpr double goodEnoughFactor = 1.25;
// A limit says nothing about the load of the others, so more of them are asked.
constexpr int maxWideningsPastLimits = 3;

} // namespace

InstancePoll::InstancePoll (double usualRunMs, bool largeBodyToSend)
    : usualRun (usualRunMs)
    , largeBody (largeBodyToSend)
{
}

void InstancePoll::allowOtherRegions (double targetLeftMs)
{
    mayWidenFar = true;
    targetLeft = targetLeftMs;
}

void InstancePoll::ask (Instance instance, double crossingMs)
{
    asked.push_back ({ std::move (instance), crossingMs, false, {} });
}

bool InstancePoll::endsSearch (const LoadReply& reply) const { return isGoodEnough (reply, 0); }

PollStep InstancePoll::replied (const LoadReply& reply)
{
    const auto found = std::find_if (asked.begin(), asked.end(),
                                     [&] (const auto& candidate)
                                     { return candidate.instance.id == reply.instanceId; });

    if (found != asked.end() && ! found->answered)
    {
        found->answered = true;
        found->reply = reply;

        if (reply.decision == AdmissionDecision::refuse)
            recordRefusal (reply);
    }

    if (findBest() && isGoodEnough (best().reply, best().crossingMs))
        return PollStep::take;

    return pending() > 0 ? PollStep::wait : decide();
}

void InstancePoll::recordRefusal (const LoadReply& reply)
{
    if (! isOverload (refusalCause))
        refusalCause = reply.cause;

    if (reply.cause == HopCause::instanceLimited)
        soonestAvailableMs =
            std::min (soonestAvailableMs.value_or (reply.expectedMs), reply.expectedMs);
}

PollStep InstancePoll::waitExpired() { return decide(); }

std::size_t InstancePoll::pending() const
{
    return static_cast<std::size_t> (std::count_if (
        asked.begin(), asked.end(), [] (const auto& candidate) { return ! candidate.answered; }));
}

double InstancePoll::costOf (const LoadReply& reply, double crossingMs) const
{
    const auto transfer = largeBody ? reply.bodyTransferMs : 0;
    const auto queueRisk =
        reply.decision == AdmissionDecision::wait ? queueRiskShare * usualRun : 0;
    const auto failures = reply.failureShare * failedRunCost * usualRun;
    return reply.expectedMs + queueRisk + failures + transfer + crossingMs;
}

double InstancePoll::costOf (const PolledInstance& candidate) const
{
    return costOf (candidate.reply, candidate.crossingMs);
}

bool InstancePoll::findBest()
{
    const auto usable = [] (const PolledInstance& candidate)
    { return candidate.answered && candidate.reply.decision != AdmissionDecision::refuse; };
    bool found = false;

    for (std::size_t i = 0; i < asked.size(); ++i)
    {
        if (! usable (asked[i]) || (found && costOf (asked[i]) >= costOf (best())))
            continue;

        bestIndex = i;
        found = true;
    }

    return found;
}

bool InstancePoll::isGoodEnough (const LoadReply& reply, double crossingMs) const
{
    return reply.decision == AdmissionDecision::run &&
           costOf (reply, crossingMs) <= goodEnoughFactor * usualRun + crossingMs;
}

bool InstancePoll::isInTime (const PolledInstance& candidate) const
{
    return candidate.reply.expectedMs <= targetLeft;
}

bool InstancePoll::mayWidenPastLimits (bool found)
{
    return ! found && soonestAvailableMs && widenedPastLimits++ < maxWideningsPastLimits;
}

PollStep InstancePoll::decide()
{
    const bool found = findBest();

    if (found && best().reply.decision == AdmissionDecision::run &&
        best().reply.failureShare <= tolerableFailureShare)
        return PollStep::take;

    if (std::exchange (mayWiden, false) || mayWidenPastLimits (found))
        return PollStep::widen;

    if (! (found && isInTime (best())) && std::exchange (mayWidenFar, false))
        return PollStep::widenToOtherRegions;

    if (found)
        return PollStep::take;

    return isOverload (refusalCause) ? PollStep::refuse : PollStep::noUsableReply;
}

} // namespace copperlead::mesh
