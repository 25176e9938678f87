#include "mesh/avoidance.h"

#include <gtest/gtest.h>

namespace copperlead::mesh::test
{
namespace
{

RetryFacts repeatable()
{
    RetryFacts facts;
    facts.mayRepeat = true;
    facts.maxAttempts = 2;
    facts.timeLeft = Milliseconds (500);
    facts.usualRun = Milliseconds (100);
    return facts;
}

TEST (Avoidance, IsLongestForLeavingInstancesAndZeroForFullOnes)
{
    EXPECT_GT (avoidanceFor (HopCause::instanceLeaving), avoidanceFor (HopCause::instanceDown));
    EXPECT_EQ (avoidanceFor (HopCause::instanceDown), lostAvoidance);

    for (const auto cause : { HopCause::none, HopCause::queueFull, HopCause::expired,
                              HopCause::answerLost, HopCause::answerBroken })
        EXPECT_EQ (avoidanceFor (cause), Milliseconds (0));
}

TEST (Avoidance, AnAttemptIsSlowWellAfterTheUsualAndTheExpectedTime)
{
    EXPECT_EQ (slowAfter (100, 0), Milliseconds (300));
    EXPECT_EQ (slowAfter (100, 500), Milliseconds (700));
    EXPECT_EQ (slowAfter (1, 0), Milliseconds (30));
}

TEST (Hedging, OnlyOneHedgeAndOnlyForRepeatableRequests)
{
    EXPECT_TRUE (mayHedge (repeatable(), 1));
    EXPECT_FALSE (mayHedge (repeatable(), 2));
    auto facts = repeatable();
    facts.mayRepeat = false;
    EXPECT_FALSE (mayHedge (facts, 1));
}

TEST (Hedging, NotForHeldRequests)
{
    auto facts = repeatable();
    facts.isHeld = true;
    EXPECT_FALSE (mayHedge (facts, 1));
}

TEST (Hedging, OnlyWithinTheRoutesAttemptsAndTheTimeLeft)
{
    auto facts = repeatable();
    facts.arrivals = 1;
    EXPECT_FALSE (mayHedge (facts, 1));
    facts = repeatable();
    facts.timeLeft = facts.usualRun;
    EXPECT_FALSE (mayHedge (facts, 1));
}

} // namespace
} // namespace copperlead::mesh::test
