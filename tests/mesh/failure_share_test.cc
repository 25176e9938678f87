#include "mesh/failure_share.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

TEST (FailureShare, FollowsTheRecentRuns)
{
    FailureShare share;
    EXPECT_EQ (share.at (at (0)), 0);

    for (int run = 0; run < 100; ++run)
        share.observe (at (run * 10), run % 5 < 2);

    EXPECT_NEAR (share.at (at (1000)), 0.4, 0.15);

    for (int run = 0; run < 30; ++run)
        share.observe (at (1000 + run * 10), false);

    EXPECT_LT (share.at (at (1300)), 0.01);
}

TEST (FailureShare, FallsWhileNothingRuns)
{
    FailureShare share;

    for (int run = 0; run < 20; ++run)
        share.observe (at (0), true);

    EXPECT_GT (share.at (at (0)), 0.9);
    EXPECT_NEAR (share.at (at (2000)), share.at (at (0)) / 2, 0.01);
    EXPECT_LT (share.at (at (20'000)), 0.01);
}

} // namespace
} // namespace copperlead::mesh::test
