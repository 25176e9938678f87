#include "mesh/attempt_age.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

const std::string route = "lookup";

Milliseconds observe (AttemptAges& ages, std::int64_t time, int announced)
{
    return ages.observe (at (time), route, Milliseconds (announced));
}

TEST (AttemptAges, WhatIsAnnouncedLessWasSpentOnEarlierAttempts)
{
    AttemptAges ages;
    EXPECT_EQ (observe (ages, 0, 2500), Milliseconds (0));
    EXPECT_EQ (observe (ages, 1, 2499), Milliseconds (0));
    EXPECT_EQ (observe (ages, 2, 1700), Milliseconds (800));
    EXPECT_EQ (observe (ages, 3, 2500), Milliseconds (0));
}

TEST (AttemptAges, NothingIsConcludedWhereNoWaitStandsOut)
{
    AttemptAges ages;
    observe (ages, 0, 9000);

    for (int n = 0; n < 20; ++n)
        observe (ages, n, 1000 + 100 * n);

    EXPECT_EQ (observe (ages, 30, 1500), Milliseconds (0));
}

TEST (AttemptAges, EachRouteHasItsOwnWait)
{
    AttemptAges ages;
    observe (ages, 0, 2500);
    EXPECT_EQ (ages.observe (at (1), "other", Milliseconds (400)), Milliseconds (0));
}

TEST (AttemptAges, AShorterPatienceIsLearnedAfterSomeTime)
{
    AttemptAges ages;
    observe (ages, 0, 2500);
    EXPECT_EQ (observe (ages, 10, 1000), Milliseconds (1500));

    for (int time = 20'000; time < 60'000; time += 1000)
        observe (ages, time, 1000);

    EXPECT_EQ (observe (ages, 60'000, 1000), Milliseconds (0));
}

} // namespace
} // namespace copperlead::mesh::test
