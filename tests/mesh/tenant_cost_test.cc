/** Measures and prints the time that the key look-up and the quota add to a request. The bound
    is loose: only a defect exceeds it.
*/
#include <gtest/gtest.h>

#include <iostream>

#include "mesh/quota_lease.h"
#include "mesh/tenant.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr int rounds = 200'000;
// Bound for both operations together. A busy machine may take ten times as long as an idle one.
constexpr double maxMicroseconds = 10;

template <typename Work>
double microsecondsOf (Work work)
{
    const auto startedAt = std::chrono::steady_clock::now();

    for (int round = 0; round < rounds; ++round)
        work (round);

    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - startedAt;
    return took.count() / rounds;
}

TEST (TenantCost, KeyLookUpAndQuotaStayCheap)
{
    std::vector<Tenant> tenants (75);

    for (std::size_t n = 0; n < tenants.size(); ++n)
    {
        tenants[n].name = "tenant-" + std::to_string (n);
        tenants[n].credentials = { digestOf ("first-key-" + std::to_string (n)),
                                   digestOf ("second-key-" + std::to_string (n)) };
    }

    const TenantTable table (tenants);
    std::size_t found = 0;
    const auto keyMicroseconds = microsecondsOf (
        [&] (int round)
        { found += table.find ("second-key-" + std::to_string (round % 75)) != nullptr ? 1 : 0; });
    EXPECT_EQ (found, static_cast<std::size_t> (rounds));

    QuotaLease lease;
    std::size_t passed = 0;
    const auto quotaMicroseconds = microsecondsOf (
        [&] (int round)
        {
            lease.addGrant (at (round / 100), 1, 1);
            passed += lease.take (at (round / 100)) == QuotaDecision::pass ? 1 : 0;
        });
    EXPECT_EQ (passed, static_cast<std::size_t> (rounds));

    std::cout << "a key " << keyMicroseconds << " us, a quota grant and its request "
              << quotaMicroseconds << " us\n";
    EXPECT_LT (keyMicroseconds + quotaMicroseconds, maxMicroseconds);
}

} // namespace
} // namespace copperlead::mesh::test
