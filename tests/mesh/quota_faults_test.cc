/** Tests of fleet-wide quotas while keepers pause repeatedly and nodes' directories differ. */
#include <gtest/gtest.h>

#include "tests/mesh/quota_fleet.h"

namespace copperlead::mesh::test
{
namespace
{

/** A tenant on a small fleet that receives far more requests than its quota, as in the soak test.
 */
constexpr Quota smallQuota{ 20, 10 };
constexpr int fewNodes = 6, fewZones = 2;
constexpr double overloadPerSecond = 25; /**< Requests per second at each node. */

TEST (QuotaFaults, StaysWithinTheLimitWhileTheKeeperPausesRepeatedly)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        QuotaFleet fleet (seed, smallQuota, fewNodes, fewZones);
        fleet.run (3000, overloadPerSecond);

        for (int n = 0; n < 6; ++n)
        {
            fleet.pausedUntilMs[fleet.keeper()] = fleet.nowMs + 1400;
            fleet.run (1900, overloadPerSecond);
        }

        EXPECT_LE (fleet.maxPassedInWindow(), fleet.limitInWindow()) << "seed " << seed;
    }
}

/** Guards against nodes that accumulate grants while no instance can be reached. Each request that
    passes is then given back. In one run no instance could be reached for two seconds, and all that
    was granted in that time ran in the first second after it: 158 requests in a window that allows
    157.
*/
TEST (QuotaFaults, WhatIsGrantedWhileNoInstanceCanBeReachedIsNotSavedUp)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        QuotaFleet fleet (seed, smallQuota, fewNodes, fewZones);
        fleet.run (3000, overloadPerSecond);
        fleet.instancesAreDown = true;
        fleet.run (4000, 2 * overloadPerSecond);
        fleet.instancesAreDown = false;
        fleet.run (6000, overloadPerSecond);
        EXPECT_LE (fleet.maxPassedInWindow(), fleet.limitInWindow()) << "seed " << seed;
    }
}

TEST (QuotaFaults, NodesOfOneZoneLackTheKeeperInTheirList)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        QuotaFleet fleet (seed, smallQuota, fewNodes, fewZones);
        fleet.run (3000, overloadPerSecond);

        for (int n = 0; n < fewNodes; ++n)
            if (n % fewZones == 0)
                fleet.setDirectoryWithout (n, { fleet.keeper() });

        fleet.run (6000, overloadPerSecond);
        EXPECT_LE (fleet.maxPassedInWindow(), fleet.limitInWindow()) << "seed " << seed;
    }
}

// Guards against a keeper whose bucket refills while another node grants in its place.
TEST (QuotaFaults, AKeeperThatIsUnlistedAndListedAgain)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        QuotaFleet fleet (seed, smallQuota, fewNodes, fewZones);
        fleet.run (3000, overloadPerSecond);
        const auto keeper = fleet.keeper();

        for (int round = 0; round < 6; ++round)
        {
            const std::set<int> unlisted =
                round % 2 == 0 ? std::set<int>{ keeper } : std::set<int>{};

            for (int n = 0; n < fewNodes; ++n)
                fleet.setDirectoryWithout (n, unlisted);

            fleet.run (1200, overloadPerSecond);
        }

        EXPECT_LE (fleet.maxPassedInWindow(), fleet.limitInWindow()) << "seed " << seed;
    }
}

// Guards against a keeper that begins while no instance can be reached, and grants again what its
// predecessor had granted and nodes still hold: 163 requests in a window that allows 157.
TEST (QuotaFaults, KeepersChangeWhileNoInstanceCanBeReached)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        QuotaFleet fleet (seed, smallQuota, fewNodes, fewZones);
        fleet.run (3000, overloadPerSecond);
        const auto keeper = fleet.keeper();
        std::uniform_int_distribution<std::int64_t> restMs (200, 1200);

        for (int round = 0; round < 8; ++round)
        {
            fleet.instancesAreDown = round < 3;
            const std::set<int> unlisted =
                round % 2 == 0 ? std::set<int>{ keeper } : std::set<int>{};

            for (int n = 0; n < fewNodes; ++n)
                fleet.setDirectoryWithout (n, unlisted);

            fleet.run (restMs (fleet.random), 2 * overloadPerSecond);
        }

        fleet.run (5000, 2 * overloadPerSecond);
        EXPECT_LE (fleet.maxPassedInWindow(), fleet.limitInWindow()) << "seed " << seed;
    }
}

} // namespace
} // namespace copperlead::mesh::test
