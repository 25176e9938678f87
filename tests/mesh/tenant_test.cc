#include "mesh/tenant.h"

#include <gtest/gtest.h>

#include <limits>

#include "mesh/credential_check.h"
#include "mesh/mesh_update.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

Tenant makeTenant (const std::string& name, std::initializer_list<const char*> keys)
{
    Tenant tenant;
    tenant.name = name;
    tenant.quota = { 10, 5 };

    for (const auto* key : keys)
        tenant.credentials.push_back (digestOf (key));

    return tenant;
}

RouteTable tableOf (std::vector<Tenant> tenants)
{
    auto config = makeConfiguration (4);
    config.tenants = std::move (tenants);
    config.routes[1].isPublic = true;
    return RouteTable (Resolve ([&] { return checkConfiguration (config); }).value());
}

TEST (Tenant, IsFoundByKeyAndByName)
{
    const auto table = tableOf ({ makeTenant ("a", { "k1", "k2" }), makeTenant ("b", { "k3" }) });
    EXPECT_EQ (table.tenants().find ("k2")->name, "a");
    EXPECT_EQ (table.tenants().find ("k3")->name, "b");
    EXPECT_EQ (table.tenants().find ("k4"), nullptr);
    EXPECT_EQ (table.tenants().find (""), nullptr);
    EXPECT_EQ (table.tenants().findByName ("b")->name, "b");
    EXPECT_EQ (table.tenants().findByName ("k3"), nullptr);
    EXPECT_FALSE (table.tenants().empty());
    EXPECT_TRUE (tableOf ({}).tenants().empty());
}

TEST (Tenant, InvalidTenantIsRejectedWithItsName)
{
    auto negative = makeTenant ("c", { "k5" });
    negative.quota.requestsPerSecond = -1;
    auto infinite = makeTenant ("d", { "k6" });
    infinite.quota.burst = std::numeric_limits<double>::infinity();

    struct Case
    {
        std::vector<Tenant> tenants;
        std::string place;
        ErrorKind kind;
    };
    const Case cases[] = {
        { { makeTenant ("a", { "k1" }), makeTenant ("b", { "k1" }) },
          "tenants.b",
          ErrorKind::kDuplicateRoute },
        { { makeTenant ("a", { "k1" }), makeTenant ("a", { "k2" }) },
          "tenants.a",
          ErrorKind::kDuplicateRoute },
        { { makeTenant ("a", { "" }) }, "tenants.a", ErrorKind::kBadValue },
        { { makeTenant ("", { "k1" }) }, "tenants.", ErrorKind::kBadValue },
        { { makeTenant ("a\r\nx", { "k1" }) }, "tenants.a\r\nx", ErrorKind::kBadValue },
        { { negative }, "tenants.c", ErrorKind::kOutOfRange },
        { { infinite }, "tenants.d", ErrorKind::kOutOfRange },
    };

    for (const auto& testCase : cases)
    {
        auto config = makeConfiguration (4);
        config.tenants = testCase.tenants;
        const auto checked = Resolve ([&] { return checkConfiguration (config); });
        ASSERT_FALSE (checked) << testCase.place;
        EXPECT_EQ (checked.error().place, testCase.place);
        EXPECT_EQ (checked.error().kind, testCase.kind) << testCase.place;
    }
}

TEST (Tenant, DifferenceContainsOnlyChangedTenants)
{
    auto base = makeConfiguration (4);
    base.tenants = { makeTenant ("a", { "k1" }), makeTenant ("b", { "k2" }),
                     makeTenant ("c", { "k3" }) };
    auto next = makeConfiguration (9);
    // One key moves from one tenant to another, and the third tenant is removed.
    next.tenants = { makeTenant ("a", {}), makeTenant ("b", { "k2", "k1" }) };
    const auto change = difference (base, next, revision (12));
    EXPECT_EQ (change.content.tenants, next.tenants);
    EXPECT_EQ (change.removedTenants, std::vector<std::string>{ "c" });

    MeshUpdate update;
    update.configuration = change;
    const auto received = Resolve ([&] { return decodeMeshUpdate (encode (update)); });
    ASSERT_TRUE (received);
    const auto rebuilt = Resolve ([&] { return rebuild (&base, *received.value().configuration); });
    ASSERT_TRUE (rebuilt);
    EXPECT_EQ (rebuilt.value().tenants, next.tenants);

    next.tenants[1].quota.burst = 7;
    EXPECT_EQ (difference (rebuilt.value(), next, revision (13)).content.tenants.size(), 1U);
}

TEST (CredentialCheck, DependsOnKeyRouteAndConfirmationAge)
{
    const auto table = tableOf ({ makeTenant ("a", { "k1" }) });
    const auto& protectedRoute = table.configuration().routes[0];
    const auto& publicRoute = table.configuration().routes[1];
    using Verdict = CredentialVerdict;

    struct Case
    {
        const Route& route;
        const char* key;
        bool fromInstance;
        std::optional<double> age;
        bool failClosed;
        Verdict verdict;
        bool hasTenant;
    };
    const Case cases[] = {
        { protectedRoute, "k1", false, 100, false, Verdict::accepted, true },
        { protectedRoute, "k1", false, std::nullopt, false, Verdict::accepted, true },
        { protectedRoute, "k1", false, 4999, true, Verdict::accepted, true },
        { protectedRoute, "k1", false, 5001, true, Verdict::configurationMayBeStale, true },
        { protectedRoute, "k1", false, std::nullopt, true, Verdict::configurationMayBeStale, true },
        { protectedRoute, "k9", false, 100, false, Verdict::unknownCredential, false },
        { protectedRoute, "k9", false, 2501, false, Verdict::configurationMayBeStale, false },
        { protectedRoute, "k9", false, std::nullopt, false, Verdict::configurationMayBeStale,
          false },
        { protectedRoute, "", false, 100, false, Verdict::missing, false },
        { protectedRoute, "", false, 2501, false, Verdict::configurationMayBeStale, false },
        { protectedRoute, "", true, std::nullopt, true, Verdict::accepted, false },
        { protectedRoute, "k9", true, 100, false, Verdict::unknownCredential, false },
        { publicRoute, "", false, std::nullopt, true, Verdict::accepted, false },
        { publicRoute, "k1", false, 100, false, Verdict::accepted, true },
        { publicRoute, "k9", false, 100, false, Verdict::accepted, false },
    };

    for (const auto& testCase : cases)
    {
        CredentialSettings settings;
        settings.failClosed = testCase.failClosed;
        const auto result = checkCredential (
            settings, { table, testCase.route, testCase.key, testCase.fromInstance, testCase.age });
        const auto place = std::string (testCase.key) + " on " + testCase.route.name;
        EXPECT_EQ (result.verdict, testCase.verdict) << place << " " << testCase.age.value_or (-1);
        EXPECT_EQ (result.tenant != nullptr, testCase.hasTenant) << place;
    }
}

TEST (CredentialCheck, MeshWithoutTenantsNeedsNoKey)
{
    const auto table = tableOf ({});
    const auto result = checkCredential (
        {}, { table, table.configuration().routes[0], "any", false, std::nullopt });
    EXPECT_EQ (result.verdict, CredentialVerdict::accepted);
    EXPECT_EQ (result.tenant, nullptr);
}

TEST (CredentialCheck, TenantPriorityTakesPrecedenceOverRoutePriority)
{
    auto urgent = makeTenant ("a", {}), usual = makeTenant ("b", {}), none = makeTenant ("c", {});
    urgent.priority = 0;
    usual.priority = 1;
    auto first = makeRoute ("first", "/1/"), second = makeRoute ("second", "/2/");
    first.priority = 1;
    second.priority = 2;
    EXPECT_LT (priorityOf (second, &urgent), priorityOf (first, &usual));
    EXPECT_LT (priorityOf (first, &usual), priorityOf (second, &usual));
    EXPECT_EQ (priorityOf (second, &none), 2);
    EXPECT_EQ (priorityOf (second, nullptr), 2);
}

} // namespace
} // namespace copperlead::mesh::test
