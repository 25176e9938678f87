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

/** A window that allows three starts per second until 10 s. */
StartWindow threePerSecond()
{
    StartWindow window;
    window.setLimit (3);
    window.enforceUntil (at (10'000));
    return window;
}

TEST (StartWindow, WithoutALimitRequestsStartImmediately)
{
    StartWindow window;

    for (int i = 0; i < 100; ++i)
        window.recordStart (at (0));

    EXPECT_EQ (window.earliestStart (at (0), 50), at (0));
    EXPECT_FALSE (window.isEnforced (at (0)));
}

TEST (StartWindow, TheNextStartWaitsForTheOldestToLeaveTheWindow)
{
    auto window = threePerSecond();

    for (const int time : { 0, 100, 200 })
    {
        EXPECT_EQ (window.earliestStart (at (time), 0), at (time));
        window.recordStart (at (time));
    }

    EXPECT_EQ (window.earliestStart (at (300), 0), at (1010));
    EXPECT_EQ (window.earliestStart (at (300), 1), at (1110));
    EXPECT_EQ (window.earliestStart (at (300), 2), at (1210));
    EXPECT_EQ (window.earliestStart (at (300), 3), at (2020))
        << "one window after the first pending start";
    EXPECT_EQ (window.earliestStart (at (1100), 0), at (1100));
}

TEST (StartWindow, RequestsAheadUseFreeCapacityFirst)
{
    auto window = threePerSecond();
    window.recordStart (at (0));
    EXPECT_EQ (window.earliestStart (at (500), 0), at (500));
    EXPECT_EQ (window.earliestStart (at (500), 1), at (500));
    EXPECT_EQ (window.earliestStart (at (500), 2), at (1010));
    EXPECT_EQ (window.earliestStart (at (500), 3), at (1510))
        << "one window after a request that starts now";
}

TEST (StartWindow, LimitEndsWithTheColdPeriod)
{
    auto window = threePerSecond();
    window.enforceUntil (at (700));

    for (int i = 0; i < 3; ++i)
        window.recordStart (at (0));

    EXPECT_EQ (window.earliestStart (at (600), 0), at (700));
    EXPECT_EQ (window.earliestStart (at (701), 9), at (701));
}

TEST (StartWindow, StartsBeforeEnforcementCount)
{
    StartWindow window;
    window.setLimit (3);

    for (int time = 0; time < 100; time += 10)
        window.recordStart (at (time));

    window.enforceUntil (at (5000));
    EXPECT_EQ (window.earliestStart (at (100), 0), at (1080))
        << "the third latest start was at 70 ms";
    window.clear();
    EXPECT_EQ (window.earliestStart (at (100), 0), at (100)) << "no starts are recorded";
}

TEST (StartWindow, AssumedStartsCount)
{
    auto window = threePerSecond();
    window.assumeStarts (at (0), 2);
    EXPECT_EQ (window.earliestStart (at (1), 0), at (1));
    window.recordStart (at (1));
    EXPECT_EQ (window.earliestStart (at (2), 0), at (1010));
}

TEST (StartWindow, QuarterWindowLimitsStarts)
{
    StartWindow window;
    window.setLimit (6);
    window.setQuarterLimit (2);
    window.enforceUntil (at (10'000));

    for (int i = 0; i < 2; ++i)
        window.recordStart (at (0));

    EXPECT_EQ (window.earliestStart (at (100), 0), at (253));
    EXPECT_EQ (window.earliestStart (at (100), 2), at (506));

    for (int time : { 253, 253, 506, 506 })
        window.recordStart (at (time));

    EXPECT_EQ (window.earliestStart (at (759), 0), at (1010)) << "the whole window is full";
}

TEST (StartWindow, DelayedRequestCountsFromItsSending)
{
    auto window = threePerSecond();

    for (const int time : { 0, 100, 200 })
        window.recordStart (at (time));

    // The connection of the first request had to be opened first.
    window.postponeStart (at (0), at (250));
    EXPECT_EQ (window.earliestStart (at (300), 0), at (1110));
    EXPECT_EQ (window.earliestStart (at (300), 2), at (1260));
    // No request was started at 77 ms, so this has no effect.
    window.postponeStart (at (77), at (260));
    EXPECT_EQ (window.earliestStart (at (300), 0), at (1110));
}

TEST (StartWindow, NoSecondExceedsTheLimitWithRandomArrivals)
{
    std::minstd_rand random (7);
    auto window = threePerSecond();
    std::vector<Timestamp> starts;
    auto now = at (0);

    while (now < at (9000))
    {
        if (window.earliestStart (now, 0) <= now)
        {
            window.recordStart (now);
            starts.push_back (now);
        }

        now += Milliseconds (std::uniform_int_distribution<int> (0, 90) (random));
    }

    ASSERT_GT (starts.size(), 20U) << "close to the limit of three per second";

    for (std::size_t i = 3; i < starts.size(); ++i)
        EXPECT_GT (starts[i] - starts[i - 3], Milliseconds (1000));
}

/** Starts requests as early as the window allows and returns the maximum number that arrive at the
    instance within a second. The first `limit` requests use new connections, which are opened one
    after another in 1 ms each; the others reuse these connections.
*/
std::size_t maxArrivalsPerSecond (StartWindow& window, std::size_t limit)
{
    std::vector<Timestamp> arrivals;
    Timestamp opened{};

    for (auto now = at (0); now < at (3000); now += Milliseconds (1))
        while (window.earliestStart (now, 0) <= now)
        {
            window.recordStart (now);
            const bool isNew = arrivals.size() < limit;
            opened = std::max<Timestamp> (opened, now) + Milliseconds (isNew ? 1 : 0);
            arrivals.push_back (isNew ? opened : now);
        }

    std::size_t maxArrivals = 0;

    for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
    {
        const auto end = std::lower_bound (first, arrivals.end(), *first + Milliseconds (1000));
        maxArrivals = std::max (maxArrivals, static_cast<std::size_t> (end - first));
    }

    return maxArrivals;
}

TEST (StartWindow, SequentiallyOpenedConnectionsStayWithinTheLimit)
{
    constexpr int limit = 26;
    StartWindow window;
    window.setLimit (limit);
    window.setQuarterLimit (7);
    window.enforceUntil (at (10'000));
    EXPECT_LE (maxArrivalsPerSecond (window, limit), std::size_t (limit));
}

} // namespace
} // namespace copperlead::mesh::test
