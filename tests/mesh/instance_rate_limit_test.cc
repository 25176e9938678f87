#include "mesh/instance_rate_limit.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

/** Starts requests as soon as the limit allows. @returns how many started in [from, until) */
int startsBetween (InstanceRateLimit& limit, std::int64_t from, std::int64_t until)
{
    int starts = 0;

    for (auto ms = from; ms < until; ++ms)
        for (; limit.earliestStart (at (ms), 0) <= at (ms); ++starts)
            limit.recordStart (at (ms));

    return starts;
}

TEST (InstanceRateLimit, NothingIsLimitedUntilALimitIsKnown)
{
    InstanceRateLimit limit;
    EXPECT_FALSE (limit.requestsPerSecond());
    EXPECT_EQ (limit.earliestStart (at (0), 1000), at (0));
    EXPECT_FALSE (limit.wantsProbe (at (0)));
    EXPECT_FALSE (limit.recordAnswer (at (0), std::nullopt));
}

TEST (InstanceRateLimit, NoWindowOfFourSecondsExceedsTheLimitByMoreThanTheBurst)
{
    for (const double perSecond : { 0.0, 0.25, 1.9, 25.5, 400.0 })
    {
        InstanceRateLimit limit;
        EXPECT_TRUE (limit.recordAnswer (at (0), perSecond));
        startsBetween (limit, 0, 10'000);
        EXPECT_LE (startsBetween (limit, 10'000, 14'000), 4.25 * perSecond + 1) << perSecond;
    }
}

TEST (InstanceRateLimit, TheWholeRateIsUsable)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 25.5);
    EXPECT_GE (startsBetween (limit, 0, 4000), 101);
    limit.recordAnswer (at (4000), 0.5);
    EXPECT_GE (startsBetween (limit, 4000, 14'000), 5);
}

TEST (InstanceRateLimit, UnusedTokensAllowAShortBurstOnly)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 20);
    EXPECT_EQ (startsBetween (limit, 60'000, 60'001), 5);
}

TEST (InstanceRateLimit, AChangedLimitAppliesFromItsAnswerOn)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 100);
    startsBetween (limit, 0, 1000);
    EXPECT_TRUE (limit.recordAnswer (at (1000), 2));
    EXPECT_LE (startsBetween (limit, 1000, 3000), 5);
    EXPECT_TRUE (limit.recordAnswer (at (3000), 100));
    EXPECT_GE (startsBetween (limit, 3000, 4000), 95);
    EXPECT_TRUE (limit.recordAnswer (at (4000), std::nullopt));
    EXPECT_EQ (limit.earliestStart (at (4000), 500), at (4000));
}

/** Guards against a slow answer whose head arrived before a newer statement. */
TEST (InstanceRateLimit, AnAnswerThatArrivedEarlierDoesNotReplaceALaterOne)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (100), 5);
    EXPECT_FALSE (limit.recordAnswer (at (50), std::nullopt));
    EXPECT_FALSE (limit.recordHealthAnswer (at (60), 80));
    EXPECT_EQ (limit.requestsPerSecond(), 5);
}

TEST (InstanceRateLimit, AHealthAnswerWithoutALimitAllowsOneRequestThatDecides)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 0);
    EXPECT_EQ (startsBetween (limit, 0, 2000), 0);
    EXPECT_TRUE (limit.wantsProbe (at (2000)));
    limit.recordProbe (at (2000));
    EXPECT_FALSE (limit.wantsProbe (at (2001)));
    EXPECT_FALSE (limit.recordHealthAnswer (at (2001), std::nullopt));
    EXPECT_EQ (limit.requestsPerSecond(), 0);
    EXPECT_EQ (startsBetween (limit, 2001, 4000), 1);
    EXPECT_TRUE (limit.recordAnswer (at (4000), std::nullopt));
    EXPECT_FALSE (limit.requestsPerSecond());
}

TEST (InstanceRateLimit, AHealthAnswerWithALimitConfirmsOrChangesIt)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 0);
    EXPECT_FALSE (limit.recordHealthAnswer (at (2000), 0));
    EXPECT_FALSE (limit.wantsProbe (at (3999)));
    EXPECT_EQ (startsBetween (limit, 2000, 4000), 0);
    EXPECT_TRUE (limit.recordHealthAnswer (at (4000), 10));
    EXPECT_EQ (limit.origin(), LimitOrigin::healthAnswer);
    EXPECT_GT (startsBetween (limit, 4000, 5000), 5);
}

/** Guards against a node that starts beside a limited instance and lets everything through. */
TEST (InstanceRateLimit, ANodeThatHasNoAnswerYetTakesOverTheLowestLimitThatOthersKnow)
{
    InstanceRateLimit limit;
    EXPECT_TRUE (limit.adopt (at (0), 5));
    EXPECT_FALSE (limit.adopt (at (0), 7));
    EXPECT_TRUE (limit.adopt (at (0), 2));
    EXPECT_EQ (limit.origin(), LimitOrigin::otherNode);
    EXPECT_TRUE (limit.wantsProbe (at (0))) << "others may not know that it has ended";
    EXPECT_LE (startsBetween (limit, 0, 4000), 8);
    EXPECT_TRUE (limit.recordAnswer (at (4000), std::nullopt));
    EXPECT_FALSE (limit.adopt (at (4001), 5)) << "the instance's own answer is newer";
}

TEST (InstanceRateLimit, AStartWhoseRequestWasNotSentCanBeTakenBack)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 1);
    limit.recordStart (at (1000));
    EXPECT_GT (limit.earliestStart (at (1000), 0), at (1000));
    limit.cancelStart();
    EXPECT_EQ (limit.earliestStart (at (1000), 0), at (1000));
}

TEST (InstanceRateLimit, AnotherIncarnationHasNoLimit)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 1);
    limit.reset();
    EXPECT_EQ (limit.earliestStart (at (0), 100), at (0));
    EXPECT_TRUE (limit.adopt (at (1), 3));
}

TEST (InstanceRateLimit, TheRetryDelayFollowsTheLimit)
{
    InstanceRateLimit limit;
    limit.recordAnswer (at (0), 2);
    EXPECT_EQ (limit.retryDelay (at (0), 0), Milliseconds (500));
    EXPECT_EQ (limit.retryDelay (at (0), 3), Milliseconds (2000));
    limit.recordAnswer (at (0), 0);
    EXPECT_LE (limit.retryDelay (at (0), 0), Milliseconds (2000));
    limit.recordAnswer (at (0), 1e-9);
    EXPECT_LE (limit.earliestStart (at (0), 100), at (3'600'000));
}

} // namespace
} // namespace copperlead::mesh::test
