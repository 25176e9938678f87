#include "mesh/attempt_age.h"

#include <gtest/gtest.h>

#include <random>

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

/** Clients that wait for 2,500 to 3,000 ms from their first attempt on; a share of their attempts
   are returns, after a third to a fifth of what they had left.
*/
struct ImpatientClients
{
    /** @returns the age that is concluded, and sets the true one */
    Milliseconds attempt (AttemptAges& ages, std::int64_t time, Milliseconds& age)
    {
        std::uniform_real_distribution<double> patience (2500, 3000), spent (0.2, 0.33);
        const auto whole = patience (random);
        const bool returns = std::bernoulli_distribution (returning) (random);
        age = Milliseconds (returns ? static_cast<int> (whole * spent (random)) + 20 : 0);
        return ages.observe (at (time), route, Milliseconds (static_cast<int> (whole)) - age);
    }

    double returning;
    std::mt19937_64 random{ 1 };
};

TEST (AttemptAges, ReturnsAreToldFromClientsWithPatiencesOfTheirOwn)
{
    for (const double returning : { 0.02, 0.3, 0.6 })
    {
        AttemptAges ages;
        ImpatientClients clients{ returning };
        int wrong = 0, counted = 0;
        Milliseconds age{};

        // One outlier among them, which would hide that a wait stands out.
        observe (ages, 0, 8000);

        for (int time = 0; time < 30'000; time += 50)
        {
            const auto concluded = clients.attempt (ages, time, age);

            if (time < 6000)
                continue;

            ++counted;
            wrong += (concluded == Milliseconds (0)) != (age == Milliseconds (0)) ? 1 : 0;
            EXPECT_LE (std::chrono::abs (concluded - age), Milliseconds (450)) << time;
        }

        EXPECT_LT (wrong, counted / 50) << returning;
    }
}

TEST (AttemptAges, WaitsThatAreSpreadWidelySayNothing)
{
    AttemptAges ages;
    std::mt19937_64 random (2);
    std::uniform_int_distribution<int> any (500, 3000);

    for (int time = 0; time < 30'000; time += 20)
    {
        const auto age = observe (ages, time, any (random));

        // Of the first few the longest always stands out.
        if (time < 1000)
            continue;

        EXPECT_EQ (age, Milliseconds (0)) << time;
    }
}

} // namespace
} // namespace copperlead::mesh::test
