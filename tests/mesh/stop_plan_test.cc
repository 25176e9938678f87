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

} // namespace
} // namespace copperlead::mesh::test
