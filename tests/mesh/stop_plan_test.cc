#include "mesh/stop_plan.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr bool idle = true, busy = false;

/** A shutdown with a grace period of 6 s. */
class Stopping : public ::testing::Test
{
protected:
    StopPlan plan{ at (0), Milliseconds (6000) };
};

TEST_F (Stopping, ListensUntilThePlatformSendsNoNewClients)
{
    EXPECT_FALSE (plan.at (at (2999), idle).stopListening);
    EXPECT_FALSE (plan.at (at (2999), idle).end);
    EXPECT_TRUE (plan.at (at (3000), busy).stopListening);
}

TEST_F (Stopping, EndsOnceNoWorkIsLeft)
{
    EXPECT_TRUE (plan.at (at (3000), idle).end);
    EXPECT_FALSE (plan.at (at (3000), busy).end);
}

TEST_F (Stopping, AcceptsNoRequestThatCouldNotFinish)
{
    EXPECT_FALSE (plan.at (at (4499), busy).stopAccepting);
    EXPECT_TRUE (plan.at (at (4500), busy).stopAccepting);
}

TEST_F (Stopping, EndsBeforeTheKillAndAnswersBeforeTheEnd)
{
    EXPECT_FALSE (plan.at (at (5699), busy).end);
    EXPECT_TRUE (plan.at (at (5700), busy).end);
    EXPECT_EQ (plan.answerDeadline(), at (5550));
}

TEST_F (Stopping, StartsWhatUsuallyEndsInTimeWhileClientsHaveNoOtherNode)
{
    EXPECT_TRUE (plan.mayStart (at (0), Milliseconds (5550)));
    EXPECT_FALSE (plan.mayStart (at (1), Milliseconds (5550)));
    EXPECT_TRUE (plan.mayStart (at (2550), Milliseconds (3000)));
    EXPECT_TRUE (plan.mayStart (at (2999), Milliseconds (2000)));
}

TEST_F (Stopping, LaterStartsOnlyWhatEndsInTimeIfItTakesTwiceItsUsualTime)
{
    EXPECT_FALSE (plan.mayStart (at (3000), Milliseconds (2000)));
    EXPECT_TRUE (plan.mayStart (at (3550), Milliseconds (1000)));
    EXPECT_FALSE (plan.mayStart (at (3551), Milliseconds (1000)));
    // Short ones may have to wait, so they need some time, too.
    EXPECT_TRUE (plan.mayStart (at (4500), Milliseconds (10)));
    EXPECT_FALSE (plan.mayStart (at (4501), Milliseconds (10)));
}

} // namespace
} // namespace copperlead::mesh::test
