#include "mesh/mesh_configuration.h"

#include <gtest/gtest.h>

#include "mesh/configuration_holder.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

TEST (RouteTable, LongestPrefixOnSegmentBoundariesWins)
{
    struct Case
    {
        const char *host, *target, *route;
    };
    const Case cases[] = {
        { "shop.example", "/look/1", "lookup" },
        { "shop.example", "/look/", "lookup" },
        { "SHOP.example:80", "/look/1?x=/look/deep/", "lookup" },
        { "shop.example", "/look/deep/er/1", "deep" },
        { "shop.example", "/look/deeper", "lookup" },
        { "shop.example", "/look", "" },
        { "shop.example", "/lookup/1", "" },
        { "shop.example", "/", "" },
        { "shop.example", "*", "" },
        { "shop.example", "", "" },
        { "other.example", "/look/1", "" },
        { "", "/look/1", "" },
    };
    const auto config = Resolve ([] { return checkConfiguration (makeConfiguration (1)); });
    ASSERT_TRUE (config);
    const RouteTable table (config.value());

    for (const auto& testCase : cases)
    {
        const auto* found = table.find (testCase.host, testCase.target);
        EXPECT_EQ (found == nullptr ? "" : found->name, testCase.route)
            << testCase.host << testCase.target;
    }
}

TEST (CheckConfiguration, RejectsInvalidConfigurationsWithThePlace)
{
    struct Case
    {
        const char* fault;
        void (*damage) (MeshConfiguration&);
        ErrorKind kind;
    };
    const Case cases[] = {
        { "unknown service",
          [] (auto& c) {
              c.routes[1].services = { { "gone", 1 } };
          },
          ErrorKind::kUnknownService },
        { "no service", [] (auto& c) { c.routes[1].services.clear(); }, ErrorKind::kWeightsSum },
        { "no weight",
          [] (auto& c) {
              c.routes[1].services = { { "desk", 0 }, { "hub", 0 } };
          },
          ErrorKind::kWeightsSum },
        { "no attempts", [] (auto& c) { c.routes[1].maxAttempts = 0; }, ErrorKind::kOutOfRange },
        { "no time-out", [] (auto& c) { c.routes[1].timeout = {}; }, ErrorKind::kOutOfRange },
        { "no target", [] (auto& c) { c.routes[1].targetLatency = {}; }, ErrorKind::kOutOfRange },
        { "open prefix", [] (auto& c) { c.routes[1].pathPrefix = "/look"; }, ErrorKind::kBadRoute },
        { "no host", [] (auto& c) { c.routes[1].host.clear(); }, ErrorKind::kBadRoute },
        { "twice", [] (auto& c) { c.routes[1].pathPrefix = "/look/"; },
          ErrorKind::kDuplicateRoute },
    };

    for (const auto& testCase : cases)
    {
        auto config = makeConfiguration (1);
        testCase.damage (config);
        const auto checked = Resolve ([&] { return checkConfiguration (config); });
        ASSERT_FALSE (checked) << testCase.fault;
        EXPECT_EQ (checked.error().kind, testCase.kind) << testCase.fault;
        EXPECT_EQ (checked.error().place, "routes.deep") << testCase.fault;
    }
}

TEST (ConfigurationHolder, AcceptsOnlyLaterVersionsAndKeepsTheCurrentOneOnAnError)
{
    ConfigurationHolder holder;
    const auto take = [&] (MeshConfiguration config)
    { return Resolve ([&] { return holder.take (std::move (config)); }); };

    EXPECT_EQ (holder.version(), 0U);
    EXPECT_EQ (take (makeConfiguration (9)).value(), ConfigurationVerdict::taken);
    EXPECT_EQ (take (makeConfiguration (9)).value(), ConfigurationVerdict::same);
    EXPECT_EQ (take (makeConfiguration (4)).value(), ConfigurationVerdict::older);

    auto damaged = makeConfiguration (12);
    damaged.routes[0].maxAttempts = 0;
    EXPECT_FALSE (take (damaged));
    EXPECT_EQ (holder.version(), 9U);
    EXPECT_EQ (take (makeConfiguration (10)).value(), ConfigurationVerdict::taken);
    EXPECT_EQ (holder.version(), 10U);
}

} // namespace
} // namespace copperlead::mesh::test
