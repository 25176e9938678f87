#include "mesh/start_window.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

/** Three starts a second, until 10 s. */
StartWindow threeASecond()
{
    StartWindow window;
    window.setMost (3);
    window.bindUntil (at (10'000));
    return window;
}

TEST (StartWindow, WithoutABoundEverythingStartsAtOnce)
{
    StartWindow window;

    for (int i = 0; i < 100; ++i)
        window.started (at (0));

    EXPECT_EQ (window.earliest (at (0), 50), at (0));
    EXPECT_FALSE (window.binds (at (0)));
}

TEST (StartWindow, TheNextStartWaitsForTheOldestToLeaveTheWindow)
{
    auto window = threeASecond();

    for (const int time : { 0, 100, 200 })
    {
        EXPECT_EQ (window.earliest (at (time), 0), at (time));
        window.started (at (time));
    }

    EXPECT_EQ (window.earliest (at (300), 0), at (1010));
    EXPECT_EQ (window.earliest (at (300), 1), at (1110));
    EXPECT_EQ (window.earliest (at (300), 2), at (1210));
    EXPECT_EQ (window.earliest (at (300), 3), at (2020)) << "a window behind the first of them";
    EXPECT_EQ (window.earliest (at (1100), 0), at (1100));
}

TEST (StartWindow, PlacesThatAreFreeGoToThoseAhead)
{
    auto window = threeASecond();
    window.started (at (0));
    EXPECT_EQ (window.earliest (at (500), 0), at (500));
    EXPECT_EQ (window.earliest (at (500), 1), at (500));
    EXPECT_EQ (window.earliest (at (500), 2), at (1010));
    EXPECT_EQ (window.earliest (at (500), 3), at (1510)) << "behind one that starts now";
}

TEST (StartWindow, TheBoundEndsWithTheColdTime)
{
    auto window = threeASecond();
    window.bindUntil (at (700));

    for (int i = 0; i < 3; ++i)
        window.started (at (0));

    EXPECT_EQ (window.earliest (at (600), 0), at (700));
    EXPECT_EQ (window.earliest (at (701), 9), at (701));
}

TEST (StartWindow, WhatWasStartedBeforeTheBoundCounts)
{
    StartWindow window;
    window.setMost (3);

    for (int time = 0; time < 100; time += 10)
        window.started (at (time));

    window.bindUntil (at (5000));
    EXPECT_EQ (window.earliest (at (100), 0), at (1080)) << "the third last was at 70";
    window.forget();
    EXPECT_EQ (window.earliest (at (100), 0), at (100)) << "those were at another instance";
}

TEST (StartWindow, WhatAForerunnerMayHaveStartedCounts)
{
    auto window = threeASecond();
    window.assumeStarted (at (0), 2);
    EXPECT_EQ (window.earliest (at (1), 0), at (1));
    window.started (at (1));
    EXPECT_EQ (window.earliest (at (2), 0), at (1010));
}

TEST (StartWindow, AQuarterHoldsNoMoreThanItsPart)
{
    StartWindow window;
    window.setMost (6);
    window.setMostInQuarter (2);
    window.bindUntil (at (10'000));

    for (int i = 0; i < 2; ++i)
        window.started (at (0));

    EXPECT_EQ (window.earliest (at (100), 0), at (253));
    EXPECT_EQ (window.earliest (at (100), 2), at (506));

    for (int time : { 253, 253, 506, 506 })
        window.started (at (time));

    EXPECT_EQ (window.earliest (at (759), 0), at (1010)) << "the whole window is full";
}

TEST (StartWindow, WhatWasSentLateCountsFromThenOn)
{
    auto window = threeASecond();

    for (const int time : { 0, 100, 200 })
        window.started (at (time));

    window.sent (at (0), at (250)); // Its connection had to be opened first.
    EXPECT_EQ (window.earliest (at (300), 0), at (1110));
    EXPECT_EQ (window.earliest (at (300), 2), at (1260));
    window.sent (at (77), at (260)); // Nothing was started then.
    EXPECT_EQ (window.earliest (at (300), 0), at (1110));
}

TEST (StartWindow, NoSecondHoldsMoreWhateverComes)
{
    std::minstd_rand random (7);
    auto window = threeASecond();
    std::vector<Timestamp> starts;
    auto now = at (0);

    while (now < at (9000))
    {
        if (window.earliest (now, 0) <= now)
        {
            window.started (now);
            starts.push_back (now);
        }

        now += Milliseconds (std::uniform_int_distribution<int> (0, 90) (random));
    }

    ASSERT_GT (starts.size(), 20U) << "and nearly as many as may be";

    for (std::size_t i = 3; i < starts.size(); ++i)
        EXPECT_GT (starts[i] - starts[i - 3], Milliseconds (1000));
}

/** The most arrivals within a second at an instance that opens new connections one after the other,
    1 ms each, when all that may start does: the first `most` over new connections, the others over
    those.
*/
std::size_t mostArrivalsInASecond (StartWindow& window, std::size_t most)
{
    std::vector<Timestamp> arrivals;
    Timestamp opened{};

    for (auto now = at (0); now < at (3000); now += Milliseconds (1))
        while (window.earliest (now, 0) <= now)
        {
            window.started (now);
            const bool isNew = arrivals.size() < most;
            opened = std::max<Timestamp> (opened, now) + Milliseconds (isNew ? 1 : 0);
            arrivals.push_back (isNew ? opened : now);
        }

    std::size_t found = 0;

    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
        const auto end = std::lower_bound (first, arrivals.end(), *first + Milliseconds (1000));
        found = std::max (found, static_cast<std::size_t> (end - first));
    }

    return found;
}

TEST (StartWindow, NewConnectionsThatOpenOneAfterTheOtherAddNothingToASecond)
{
    constexpr int most = 26;
    StartWindow window;
    window.setMost (most);
    window.setMostInQuarter (7);
    window.bindUntil (at (10'000));
    EXPECT_LE (mostArrivalsInASecond (window, most), std::size_t (most));
}

} // namespace
} // namespace copperlead::mesh::test
