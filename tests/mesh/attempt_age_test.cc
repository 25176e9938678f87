#include "mesh/attempt_age.h"

#include <gtest/gtest.h>

#include <random>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

const std::string route = "lookup";

Milliseconds observe (AttemptAges& ages, std::int64_t time, int remainingWait)
{
    return ages.observe (at (time), route, Milliseconds (remainingWait));
}

TEST (AttemptAges, AShorterRemainingWaitGivesTheTimeOfEarlierAttempts)
{
    AttemptAges ages;
    EXPECT_EQ (observe (ages, 0, 2500), Milliseconds (0));
    EXPECT_EQ (observe (ages, 1, 2499), Milliseconds (0));
    EXPECT_EQ (observe (ages, 2, 1700), Milliseconds (800));
    EXPECT_EQ (observe (ages, 3, 2500), Milliseconds (0));
}

TEST (AttemptAges, TheAgeIsZeroWhereNoWaitIsFrequent)
{
    AttemptAges ages;
    observe (ages, 0, 9000);

    for (int n = 0; n < 20; ++n)
        observe (ages, n, 1000 + 100 * n);

    EXPECT_EQ (observe (ages, 30, 1500), Milliseconds (0));
}

TEST (AttemptAges, RoutesAreEstimatedSeparately)
{
    AttemptAges ages;
    observe (ages, 0, 2500);
    EXPECT_EQ (ages.observe (at (1), "other", Milliseconds (400)), Milliseconds (0));
}

TEST (AttemptAges, AShorterTimeoutIsLearnedAfterSomeTime)
{
    AttemptAges ages;
    observe (ages, 0, 2500);
    EXPECT_EQ (observe (ages, 10, 1000), Milliseconds (1500));

    for (int time = 20'000; time < 60'000; time += 1000)
        observe (ages, time, 1000);

    EXPECT_EQ (observe (ages, 60'000, 1000), Milliseconds (0));
}

/** Clients with timeouts of 2,500 to 3,000 ms. A share of their attempts are retries, which arrive
    after a fifth to a third of the timeout.
*/
struct RetryingClients
{
    /** @returns the estimated age; sets `age` to the true one */
    Milliseconds attempt (AttemptAges& ages, std::int64_t time, Milliseconds& age)
    {
        std::uniform_real_distribution<double> timeout (2500, 3000), shareElapsed (0.2, 0.33);
        const auto timeoutMs = timeout (random);
        const bool isRetry = std::bernoulli_distribution (retryShare) (random);
        age =
            Milliseconds (isRetry ? static_cast<int> (timeoutMs * shareElapsed (random)) + 20 : 0);
        return ages.observe (at (time), route, Milliseconds (static_cast<int> (timeoutMs)) - age);
    }

    double retryShare;
    std::mt19937_64 random{ 1 };
};

TEST (AttemptAges, RetriesAreDetectedAmongClientsWithIndividualTimeouts)
{
    for (const double retryShare : { 0.02, 0.3, 0.6 })
    {
        AttemptAges ages;
        RetryingClients clients{ retryShare };
        int wrong = 0, counted = 0;
        Milliseconds age{};

        // After this outlier the longest wait is rare, so the age has to come from the histogram.
        observe (ages, 0, 8000);

        for (int time = 0; time < 30'000; time += 50)
        {
            const auto estimated = clients.attempt (ages, time, age);

            if (time < 6000)
                continue;

            ++counted;
            wrong += (estimated == Milliseconds (0)) != (age == Milliseconds (0)) ? 1 : 0;
            EXPECT_LE (std::chrono::abs (estimated - age), Milliseconds (450)) << time;
        }

        EXPECT_LT (wrong, counted / 50) << retryShare;
    }
}

TEST (AttemptAges, TheAgeIsZeroWhereWaitsAreWidelySpread)
{
    AttemptAges ages;
    std::mt19937_64 random (2);
    std::uniform_int_distribution<int> anyWait (500, 3000);

    for (int time = 0; time < 30'000; time += 20)
    {
        const auto age = observe (ages, time, anyWait (random));

        // Among the first few waits the longest is always frequent enough to count.
        if (time < 1000)
            continue;

        EXPECT_EQ (age, Milliseconds (0)) << time;
    }
}

} // namespace
} // namespace copperlead::mesh::test
