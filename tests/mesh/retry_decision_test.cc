#include "mesh/retry_decision.h"

#include <gtest/gtest.h>

namespace copperlead::mesh::test
{
namespace
{

using Outcome = AttemptOutcome;
using Step = NextStep;

constexpr bool repeatable = true, notRepeatable = false;
constexpr bool ranBefore = true, notRunBefore = false;

/** An attempt's outcome and the state of the request, with the expected next step and the expected
    final answer when no retry is possible.
*/
struct DecisionCase
{
    const char* description;
    Outcome outcome;
    bool mayRepeat;
    int arrivals;   /**< Includes this attempt. */
    int notOffered; /**< Includes this attempt. */
    bool mayHaveRun;
    int timeLeftMs;
    Step step, withoutRetry;
};

const DecisionCase cases[] = {
    { "answered", Outcome::answered, notRepeatable, 1, 0, notRunBefore, 400, Step::passOn,
      Step::passOn },
    { "application failure, repeatable", Outcome::failedByApp, repeatable, 1, 0, ranBefore, 400,
      Step::spendRetry, Step::passOn },
    { "application failure, not repeatable", Outcome::failedByApp, notRepeatable, 1, 0, ranBefore,
      400, Step::passOn, Step::passOn },
    { "application failure, attempts used", Outcome::failedByApp, repeatable, 2, 0, ranBefore, 400,
      Step::passOn, Step::passOn },
    { "lost answer, repeatable", Outcome::unknown, repeatable, 1, 0, ranBefore, 400,
      Step::spendRetry, Step::giveUp },
    { "lost answer, not repeatable: neither sent again nor refused", Outcome::unknown,
      notRepeatable, 1, 0, ranBefore, 400, Step::giveUp, Step::giveUp },
    { "lost answer, no time left", Outcome::unknown, repeatable, 1, 0, ranBefore, 50, Step::giveUp,
      Step::giveUp },
    { "rejected, not repeatable", Outcome::rejected, notRepeatable, 1, 0, notRunBefore, 400,
      Step::spendRetry, Step::refuse },
    { "rejected, attempts used", Outcome::rejected, notRepeatable, 2, 0, notRunBefore, 400,
      Step::refuse, Step::refuse },
    { "rejected after a lost answer", Outcome::rejected, repeatable, 2, 0, ranBefore, 400,
      Step::giveUp, Step::giveUp },
    { "not offered, not repeatable", Outcome::notOffered, notRepeatable, 0, 1, notRunBefore, 400,
      Step::tryAgain, Step::refuse },
    { "not offered too often", Outcome::notOffered, notRepeatable, 0, maxNotOffered, notRunBefore,
      400, Step::refuse, Step::refuse },
    { "not offered, no time left", Outcome::notOffered, notRepeatable, 0, 1, notRunBefore, 50,
      Step::refuse, Step::refuse },
    { "not offered after a lost answer", Outcome::notOffered, repeatable, 1, maxNotOffered,
      ranBefore, 400, Step::giveUp, Step::giveUp },
    { "timed out", Outcome::timedOut, repeatable, 1, 0, ranBefore, 0, Step::timeOut,
      Step::timeOut },
};

TEST (RetryDecision, Table)
{
    for (const auto& expected : cases)
    {
        RetryFacts facts;
        facts.mayRepeat = expected.mayRepeat;
        facts.maxAttempts = 2;
        facts.arrivals = expected.arrivals;
        facts.notOffered = expected.notOffered;
        facts.timeLeft = Milliseconds (expected.timeLeftMs);
        facts.usualRun = Milliseconds (100);
        facts.mayHaveRun = expected.mayHaveRun;
        EXPECT_EQ (decideNextStep (facts, expected.outcome), expected.step) << expected.description;
        EXPECT_EQ (withoutRetry (facts, expected.outcome), expected.withoutRetry)
            << expected.description;
    }
}

TEST (RetryDecision, AHeldRequestGetsItsFinalAnswerAtOnce)
{
    RetryFacts facts;
    facts.mayRepeat = true;
    facts.maxAttempts = 9;
    facts.timeLeft = Milliseconds (1000);
    facts.isHeld = true;
    EXPECT_EQ (decideNextStep (facts, Outcome::notOffered), Step::refuse);
    EXPECT_EQ (decideNextStep (facts, Outcome::answered), Step::passOn);
    EXPECT_EQ (decideNextStep (facts, Outcome::failedByApp), Step::passOn);
    EXPECT_EQ (decideNextStep (facts, Outcome::timedOut), Step::timeOut);
    facts.mayHaveRun = true;
    EXPECT_EQ (decideNextStep (facts, Outcome::unknown), Step::giveUp);
    EXPECT_EQ (decideNextStep (facts, Outcome::notOffered), Step::giveUp);
}

TEST (RetryDecision, ARequestThatIsNotIdempotentIsNeverSentAgainAfterItMayHaveRun)
{
    for (const auto outcome : { Outcome::failedByApp, Outcome::unknown, Outcome::rejected })
    {
        for (int arrivals = 1; arrivals <= 3; ++arrivals)
        {
            RetryFacts facts;
            facts.maxAttempts = 9;
            facts.arrivals = arrivals;
            facts.timeLeft = Milliseconds (1000);
            facts.mayHaveRun = true;
            const auto step = decideNextStep (facts, outcome);
            EXPECT_NE (step, Step::spendRetry);
            EXPECT_NE (step, Step::tryAgain);
            EXPECT_NE (step, Step::refuse);
        }
    }
}

} // namespace
} // namespace copperlead::mesh::test
