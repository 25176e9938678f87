#include "mesh/retry_budget.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

/** A tenth of the requests may be retried, without slack, all of it by this node. */
RetryBudgetSettings tenth()
{
    RetryBudgetSettings settings;
    settings.ratio = 0.1;
    settings.slack = 0;
    settings.margin = 1;
    return settings;
}

int taken (RetryBudget& budget, std::int64_t time)
{
    int count = 0;

    while (budget.take (at (time), 1))
        ++count;

    return count;
}

TEST (MeshRetryBudget, SpendsItsShareOfTheRequestsInTheWindow)
{
    RetryBudget budget (tenth());

    for (int n = 0; n < 100; ++n)
        budget.countRequest (at (n));

    EXPECT_EQ (taken (budget, 100), 10);
    EXPECT_EQ (taken (budget, 11'000), 0) << "the requests have left the window";
}

TEST (MeshRetryBudget, CallsOfRepeatedRunsAreChargedAsRepeats)
{
    RetryBudget budget (tenth());

    for (int n = 0; n < 100; ++n)
        budget.countRequest (at (n), 0.06);

    EXPECT_EQ (taken (budget, 100), 4);
}

TEST (MeshRetryBudget, NothingIsLeftWhereRepeatsAlreadyExceedIt)
{
    RetryBudget budget (tenth());

    for (int n = 0; n < 100; ++n)
        budget.countRequest (at (n), 0.2);

    EXPECT_EQ (taken (budget, 100), 0);
    EXPECT_LT (budget.left (at (100), 1), 0);
}

} // namespace
} // namespace copperlead::mesh::test
