#include "mesh/urgent_arrivals.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

TEST (UrgentArrivals, MeasuresTheRateOfMoreUrgentRequests)
{
    UrgentArrivals arrivals;

    for (int time = 0; time < 5000; time += 10)
        arrivals.observe (at (time), 1);

    for (int time = 0; time < 5000; time += 50)
        arrivals.observe (at (time), 2);

    EXPECT_NEAR (arrivals.higherPriorityRatePerMs (at (5000), 3), 0.12, 0.01);
    EXPECT_NEAR (arrivals.higherPriorityRatePerMs (at (5000), 2), 0.1, 0.01);
    EXPECT_EQ (arrivals.higherPriorityRatePerMs (at (5000), 1), 0);
}

TEST (UrgentArrivals, ForgetsABurstWithinSeconds)
{
    UrgentArrivals arrivals;

    for (int i = 0; i < 100; ++i)
        arrivals.observe (at (0), 1);

    EXPECT_GT (arrivals.higherPriorityRatePerMs (at (10), 2), 0.15);
    EXPECT_LT (arrivals.higherPriorityRatePerMs (at (3000), 2), 0.001);
}

} // namespace
} // namespace copperlead::mesh::test
