#include "mesh/instance_poll.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

LoadReply free (const std::string& id, double expectedMs = 100)
{
    return { 1, id, AdmissionDecision::run, HopCause::none, expectedMs, 1, 100, 0, 0 };
}

LoadReply busy (const std::string& id, double expectedMs)
{
    return { 1, id, AdmissionDecision::wait, HopCause::none, expectedMs, 6, 100, 0, 0 };
}

LoadReply refusing (const std::string& id, HopCause cause = HopCause::queueFull)
{
    return { 1, id, AdmissionDecision::refuse, cause, 0, 9, 100, 0, 0 };
}

/** Asks the instances a, b and c in the own zone. The usual run time is 100 ms. */
class Poll : public ::testing::Test
{
protected:
    Poll()
    {
        for (const auto* id : { "a", "b", "c" })
            poll.ask (makeInstance (id, "z1", 1), 0);
    }

    void askOtherZone()
    {
        for (const auto* id : { "x", "y" })
            poll.ask (makeInstance (id, "z2", 2), 30);
    }

    InstancePoll poll{ 100, false };
};

TEST_F (Poll, AFreeInstanceIsTakenAtOnce)
{
    EXPECT_EQ (poll.replied (busy ("a", 180)), PollStep::wait);
    EXPECT_EQ (poll.replied (free ("b")), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "b");
}

TEST_F (Poll, ASlowFreeInstanceIsTakenOnlyIfNoneIsBetter)
{
    EXPECT_EQ (poll.replied (free ("a", 220)), PollStep::wait);
    EXPECT_EQ (poll.replied (busy ("b", 150)), PollStep::wait);
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::widen);
    EXPECT_EQ (poll.waitExpired(), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "b");
}

TEST_F (Poll, OtherZonesAreAskedOnlyIfNoInstanceOfTheOwnZoneIsFree)
{
    poll.replied (busy ("a", 160));
    poll.replied (busy ("b", 150));
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::widen);
    askOtherZone();
    EXPECT_EQ (poll.replied (free ("x")), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "x");
}

TEST_F (Poll, AShortQueueIsPreferredToAnExpensiveCrossing)
{
    poll.replied (busy ("a", 120));
    poll.replied (busy ("b", 150));
    poll.replied (refusing ("c"));
    poll.ask (makeInstance ("far", "z2", 2), 400);
    EXPECT_EQ (poll.replied (free ("far")), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "a");
}

TEST_F (Poll, WithoutOtherZonesTheShortestQueueIsTaken)
{
    EXPECT_EQ (poll.waitExpired(), PollStep::widen); // The poll widens only once.
    poll.replied (busy ("a", 160));
    poll.replied (busy ("b", 150));
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "b");
}

TEST_F (Poll, TheRequestIsRefusedIfAllRefuseAndSomeForLoad)
{
    for (const auto* id : { "a", "b" })
        EXPECT_EQ (poll.replied (refusing (id)), PollStep::wait);

    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::widen);
    askOtherZone();
    EXPECT_EQ (poll.replied (refusing ("x")), PollStep::wait);
    EXPECT_EQ (poll.replied (refusing ("y", HopCause::instanceLeaving)), PollStep::refuse);
    EXPECT_EQ (poll.refusal(), HopCause::queueFull);
}

TEST_F (Poll, RefusalsForOtherReasonsThanLoadAreNotUsable)
{
    EXPECT_EQ (poll.waitExpired(), PollStep::widen); // The poll widens only once.
    poll.replied (refusing ("a", HopCause::instanceDown));
    poll.replied (refusing ("b", HopCause::instanceUnknown));
    EXPECT_EQ (poll.replied (refusing ("c", HopCause::nodeStopping)), PollStep::noUsableReply);
}

TEST_F (Poll, AnInstanceWithFailedRunsDoesNotCountAsFree)
{
    auto failing = free ("a", 5);
    failing.failureShare = 0.4;
    EXPECT_EQ (poll.replied (failing), PollStep::wait);
    EXPECT_EQ (poll.replied (busy ("b", 250)), PollStep::wait);
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::widen);
    EXPECT_EQ (poll.waitExpired(), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "b");
}

TEST_F (Poll, AnInstanceWithFailedRunsIsTakenIfTheOthersRefuse)
{
    EXPECT_EQ (poll.waitExpired(), PollStep::widen); // The poll widens only once.
    auto failing = free ("a", 5);
    failing.failureShare = 0.4;
    poll.replied (failing);
    poll.replied (refusing ("b"));
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "a");
}

TEST_F (Poll, ATimeOutEndsTheWaitForMissingReplies)
{
    poll.replied (busy ("a", 150));
    EXPECT_EQ (poll.waitExpired(), PollStep::widen);
    EXPECT_EQ (poll.waitExpired(), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "a");
}

TEST_F (Poll, WithoutAnyReplyThereIsNoUsableOne)
{
    EXPECT_EQ (poll.waitExpired(), PollStep::widen);
    EXPECT_EQ (poll.waitExpired(), PollStep::noUsableReply);
}

TEST_F (Poll, UnexpectedAndRepeatedRepliesAreIgnored)
{
    EXPECT_EQ (poll.replied (free ("stranger")), PollStep::wait);
    EXPECT_EQ (poll.replied (busy ("a", 150)), PollStep::wait);
    EXPECT_EQ (poll.replied (free ("a")), PollStep::wait);
    EXPECT_EQ (poll.replied (refusing ("b")), PollStep::wait);
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::widen);
    EXPECT_EQ (poll.best().reply.expectedMs, 150);
}

TEST_F (Poll, OtherRegionsAreAskedOnlyIfNoInstanceOfTheRegionCanAnswerInTime)
{
    poll.allowOtherRegions (400);
    EXPECT_EQ (poll.waitExpired(), PollStep::widen);
    poll.replied (busy ("a", 500));
    poll.replied (refusing ("b"));
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::widenToOtherRegions);
    poll.ask (makeInstance ("far", "z9", 9), 120);
    EXPECT_EQ (poll.replied (free ("far")), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "far");
}

TEST_F (Poll, AQueueWithinTheTargetStaysInTheRegion)
{
    poll.allowOtherRegions (400);
    EXPECT_EQ (poll.waitExpired(), PollStep::widen);
    poll.replied (busy ("a", 390));
    poll.replied (refusing ("b"));
    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::take);
}

TEST (LargeBodyPoll, TheTransferTimeIsPartOfTheCost)
{
    InstancePoll poll (100, true);
    poll.ask (makeInstance ("a", "z1", 1), 0);
    poll.ask (makeInstance ("b", "z1", 2), 0);
    auto narrow = free ("a");
    narrow.bodyTransferMs = 900;
    EXPECT_EQ (poll.replied (narrow), PollStep::wait);
    EXPECT_EQ (poll.replied (free ("b", 200)), PollStep::take);
    EXPECT_EQ (poll.best().instance.id, "b");
}

/** Guards against a refusal while an instance without a limit has room. */
TEST_F (Poll, MoreInstancesAreAskedIfSomeAreAtTheirLimits)
{
    for (const auto* id : { "a", "b" })
        poll.replied (refusing (id, HopCause::instanceLimited));

    EXPECT_EQ (poll.replied (refusing ("c")), PollStep::widen);
    askOtherZone();
    poll.replied (refusing ("x"));
    EXPECT_EQ (poll.replied (refusing ("y")), PollStep::widen);
    poll.ask (makeInstance ("z", "z2", 3), 30);
    EXPECT_EQ (poll.replied (free ("z")), PollStep::take);
}

TEST_F (Poll, ASearchPastLimitsIsBoundedAndKnowsWhenThereIsRoomAgain)
{
    auto later = refusing ("a", HopCause::instanceLimited);
    later.expectedMs = 900;
    auto sooner = refusing ("b", HopCause::instanceLimited);
    sooner.expectedMs = 300;
    poll.replied (later);
    poll.replied (sooner);
    auto step = poll.replied (refusing ("c", HopCause::instanceLeaving));
    int widenings = 0;

    for (; step == PollStep::widen && widenings < 100; ++widenings)
        step = poll.waitExpired();

    EXPECT_EQ (step, PollStep::refuse);
    EXPECT_LE (widenings, 4);
    EXPECT_EQ (poll.refusal(), HopCause::instanceLimited);
    EXPECT_EQ (poll.availableMs(), 300);
}

} // namespace
} // namespace copperlead::mesh::test
