#include "mesh/stop_plan.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr bool idle = true, busy = false;

/** A stop with 6 s until the kill. */
class Stopping : public ::testing::Test
{
protected:
    StopPlan plan{ at (0), Milliseconds (6000) };
};

TEST_F (Stopping, ListensUntilNoNewClientIsSentHere)
{
    EXPECT_FALSE (plan.at (at (2999), idle).stopListening);
    EXPECT_FALSE (plan.at (at (2999), idle).end);
    EXPECT_TRUE (plan.at (at (3000), busy).stopListening);
}

TEST_F (Stopping, EndsOnceNothingIsLeft)
{
    EXPECT_TRUE (plan.at (at (3000), idle).end);
    EXPECT_FALSE (plan.at (at (3000), busy).end);
}

TEST_F (Stopping, TakesNothingThatCouldNotEnd)
{
    EXPECT_FALSE (plan.at (at (4499), busy).stopTaking);
    EXPECT_TRUE (plan.at (at (4500), busy).stopTaking);
}

TEST_F (Stopping, EndsBeforeTheKillAndAnswersBeforeItsEnd)
{
    EXPECT_FALSE (plan.at (at (5699), busy).end);
    EXPECT_TRUE (plan.at (at (5700), busy).end);
    EXPECT_EQ (plan.answersBy(), at (5550));
}

} // namespace
} // namespace copperlead::mesh::test
