/** What keys and quotas cost a request: printed, with a bound that only a mistake exceeds. */
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
constexpr double mostMicroseconds = 10; // A busy machine may well take ten times the usual.

template <typename Work>
double microsecondsOf (Work work)
{
    const auto begun = std::chrono::steady_clock::now();

    for (int round = 0; round < rounds; ++round)
        work (round);

    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begun;
    return took.count() / rounds;
}

TEST (TenantCost, OfAKeyAndOfAQuota)
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
    const auto key = microsecondsOf (
        [&] (int round)
        { found += table.find ("second-key-" + std::to_string (round % 75)) != nullptr ? 1 : 0; });
    EXPECT_EQ (found, static_cast<std::size_t> (rounds));

    QuotaLease lease;
    std::size_t passed = 0;
    const auto quota = microsecondsOf (
        [&] (int round)
        {
            lease.granted (at (round / 100), 1, 1);
            passed += lease.take (at (round / 100)) == QuotaStep::pass ? 1 : 0;
        });
    EXPECT_EQ (passed, static_cast<std::size_t> (rounds));

    std::cout << "a key " << key << " us, a grant and a request of it " << quota << " us\n";
    EXPECT_LT (key + quota, mostMicroseconds);
}

} // namespace
} // namespace copperlead::mesh::test
