#include "mesh/retry_decision.h"

#include <gtest/gtest.h>

namespace copperlead::mesh::test
{
namespace
{

using Outcome = AttemptOutcome;
using Step = NextStep;

constexpr bool repeatable = true, once = false;
constexpr bool ranBefore = true, notRunBefore = false;

/** Fault x kind of request x what was sent -> what follows, and what if there is no retry left. */
struct Case
{
    const char* what;
    Outcome outcome;
    bool mayRepeat;
    int arrivals;  /**< This attempt's included. */
    int handBacks; /**< This attempt's included. */
    bool mayHaveRun;
    int leftMs;
    Step step, withoutRetry;
};

const Case cases[] = {
    { "answered", Outcome::answered, once, 1, 0, notRunBefore, 400, Step::passOn, Step::passOn },
    { "own failure, repeatable", Outcome::failedByApp, repeatable, 1, 0, ranBefore, 400,
      Step::spendRetry, Step::passOn },
    { "own failure, once", Outcome::failedByApp, once, 1, 0, ranBefore, 400, Step::passOn,
      Step::passOn },
    { "own failure, attempts used", Outcome::failedByApp, repeatable, 2, 0, ranBefore, 400,
      Step::passOn, Step::passOn },
    { "lost answer, repeatable", Outcome::unknown, repeatable, 1, 0, ranBefore, 400,
      Step::spendRetry, Step::giveUp },
    { "lost answer, once: never again, never refused", Outcome::unknown, once, 1, 0, ranBefore, 400,
      Step::giveUp, Step::giveUp },
    { "lost answer, no time left", Outcome::unknown, repeatable, 1, 0, ranBefore, 50, Step::giveUp,
      Step::giveUp },
    { "rejected, once", Outcome::rejected, once, 1, 0, notRunBefore, 400, Step::spendRetry,
      Step::refuse },
    { "rejected, attempts used", Outcome::rejected, once, 2, 0, notRunBefore, 400, Step::refuse,
      Step::refuse },
    { "rejected after a lost answer", Outcome::rejected, repeatable, 2, 0, ranBefore, 400,
      Step::giveUp, Step::giveUp },
    { "handed back, once", Outcome::notOffered, once, 0, 1, notRunBefore, 400, Step::tryAgain,
      Step::refuse },
    { "handed back too often", Outcome::notOffered, once, 0, mostHandBacks, notRunBefore, 400,
      Step::refuse, Step::refuse },
    { "handed back, no time left", Outcome::notOffered, once, 0, 1, notRunBefore, 50, Step::refuse,
      Step::refuse },
    { "handed back after a lost answer", Outcome::notOffered, repeatable, 1, mostHandBacks,
      ranBefore, 400, Step::giveUp, Step::giveUp },
    { "timed out", Outcome::timedOut, repeatable, 1, 0, ranBefore, 0, Step::timeOut,
      Step::timeOut },
};

TEST (RetryDecision, Table)
{
    for (const auto& wanted : cases)
    {
        RetryFacts facts;
        facts.mayRepeat = wanted.mayRepeat;
        facts.maxAttempts = 2;
        facts.arrivals = wanted.arrivals;
        facts.notOffered = wanted.handBacks;
        facts.timeLeft = Milliseconds (wanted.leftMs);
        facts.usualRun = Milliseconds (100);
        facts.mayHaveRun = wanted.mayHaveRun;
        EXPECT_EQ (decideNextStep (facts, wanted.outcome), wanted.step) << wanted.what;
        EXPECT_EQ (withoutRetry (facts, wanted.outcome), wanted.withoutRetry) << wanted.what;
    }
}

TEST (RetryDecision, WhatIsHeldIsAnsweredAtOnce)
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

TEST (RetryDecision, WhatMayRunOnceIsNeverSentAgainAfterItMayHaveRun)
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
