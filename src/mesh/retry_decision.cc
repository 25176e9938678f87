#include "mesh/retry_decision.h"

namespace copperlead::mesh
{
namespace
{

/** A retry is worth its cost only if it can be expected to finish before the deadline. */
bool hasTimeForRun (const RetryFacts& facts) { return facts.timeLeft > facts.usualRun * 6 / 10; }

} // namespace

NextStep withoutRetry (const RetryFacts& facts, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::answered || outcome == AttemptOutcome::failedByApp)
        return NextStep::passOn;

    if (outcome == AttemptOutcome::timedOut)
        return NextStep::timeOut;

    // A refusal states that the request has not run. This would be untrue even where a repeat is
    // harmless because the request is idempotent.
    if (outcome == AttemptOutcome::unknown || facts.mayHaveRun)
        return NextStep::giveUp;

    return NextStep::refuse;
}

NextStep decideNextStep (const RetryFacts& facts, AttemptOutcome outcome)
{
    const bool isLastAttempt = facts.isHeld || facts.bodyConsumed;

    if (isLastAttempt && outcome != AttemptOutcome::answered && outcome != AttemptOutcome::timedOut)
        return withoutRetry (facts, outcome);

    const bool mayArriveAgain = facts.arrivals < facts.maxAttempts && hasTimeForRun (facts);

    switch (outcome)
    {
    case AttemptOutcome::answered:
        return NextStep::passOn;

    case AttemptOutcome::timedOut:
        return NextStep::timeOut;

    case AttemptOutcome::failedByApp:
    case AttemptOutcome::unknown:
        if (facts.mayRepeat && mayArriveAgain)
            return NextStep::spendRetry;
        break;

    case AttemptOutcome::rejected:
        if (mayArriveAgain && (facts.mayRepeat || ! facts.mayHaveRun))
            return NextStep::spendRetry;
        break;

    case AttemptOutcome::notOffered:
        if (facts.notOffered < maxNotOffered && hasTimeForRun (facts))
            return NextStep::tryAgain;
        break;
    }

    return withoutRetry (facts, outcome);
}

} // namespace copperlead::mesh
