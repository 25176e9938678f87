#include "mesh/mesh_update.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

std::vector<Route> sorted (std::vector<Route> routes)
{
    std::sort (routes.begin(), routes.end(),
               [] (const Route& a, const Route& b) { return a.name < b.name; });
    return routes;
}

TEST (MeshUpdate, ADifferenceContainsOnlyChangesAndRebuildsTheConfiguration)
{
    const auto base = makeConfiguration (4);
    auto next = makeConfiguration (9);
    next.routes[0].timeout = Milliseconds (900);
    next.routes[1] = makeRoute ("added", "/added/");
    next.limits.idleTimeout = Milliseconds (77);
    const auto change = difference (base, next, revision (12));
    EXPECT_EQ (change.content.routes.size(), 2U);
    EXPECT_EQ (change.removedRoutes, std::vector<std::string>{ "deep" });

    const auto rebuilt = Resolve ([&] { return rebuild (&base, change); });
    ASSERT_TRUE (rebuilt);
    EXPECT_EQ (sorted (rebuilt.value().routes), sorted (next.routes));
    EXPECT_EQ (rebuilt.value().limits.idleTimeout, Milliseconds (77));
    EXPECT_EQ (rebuilt.value().version, 9U);
}

TEST (MeshUpdate, ADifferenceAgainstAnotherVersionIsRefused)
{
    const auto change = difference (makeConfiguration (4), makeConfiguration (9), revision (12));
    const auto other = makeConfiguration (5);

    for (const auto* base : { static_cast<const MeshConfiguration*> (nullptr), &other })
    {
        const auto rebuilt = Resolve ([&] { return rebuild (base, change); });
        ASSERT_FALSE (rebuilt);
        EXPECT_EQ (rebuilt.error().kind, ErrorKind::kUnknownBase);
    }
}

MeshUpdate largeUpdate()
{
    MeshUpdate update;
    update.complete = true;
    update.position = revision (31);
    update.instances = { { withStartTime (makeInstance ("a", "z1", 1), 1768005044252), revision (7),
                           false },
                         { makeInstance ("b", "z1", 2), revision (9), true, Milliseconds (700) } };
    auto config = makeConfiguration (9);

    for (int route = 0; route < 300; ++route)
        config.routes.push_back (
            makeRoute ("idle-" + std::to_string (route), "/idle/" + std::to_string (route) + "/"));

    update.configuration = ConfigurationChange{ revision (12), 0, config, {} };
    return update;
}

TEST (MeshUpdate, RoundTripsInACompactEncoding)
{
    const auto update = largeUpdate();
    const auto bytes = encode (update);
    EXPECT_LT (bytes.size(), 8000U);
    const auto read = Resolve ([&] { return decodeMeshUpdate (bytes); });
    ASSERT_TRUE (read);
    EXPECT_TRUE (read.value().complete);
    EXPECT_EQ (read.value().position, revision (31));
    ASSERT_EQ (read.value().instances.size(), 2U);
    EXPECT_EQ (read.value().instances[0].instance.address, update.instances[0].instance.address);
    EXPECT_EQ (read.value().instances[0].instance.startTimeMs, 1768005044252U);
    EXPECT_TRUE (read.value().instances[1].removed);
    EXPECT_EQ (read.value().instances[0].grace, Milliseconds (0));
    EXPECT_EQ (read.value().instances[1].grace, Milliseconds (700));
    EXPECT_EQ (read.value().configuration->content.routes, update.configuration->content.routes);
}

TEST (MeshUpdate, MalformedInputIsRefused)
{
    auto bytes = encode (largeUpdate());
    const auto refused = [] (const std::string& damaged)
    { return ! Resolve ([&] { return decodeMeshUpdate (damaged); }); };
    EXPECT_TRUE (refused (""));
    EXPECT_TRUE (refused ("x" + bytes));
    EXPECT_TRUE (refused (bytes.substr (0, bytes.size() / 2)));
    EXPECT_TRUE (refused (encode (MeshUpdate{}).substr (0, 4)));
}

TEST (InstanceDirectory, ReturnsChangesSinceARevisionUntilRemovalsExpire)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("a", "z1", 1), revision (5));
    directory.put (at (0), makeInstance ("b", "z1", 2), revision (6));
    directory.remove (at (1), "b", revision (8), Milliseconds (0));
    std::vector<ListedInstance> changes;
    EXPECT_TRUE (directory.changesSince (revision (6), changes));
    ASSERT_EQ (changes.size(), 1U);
    EXPECT_EQ (changes[0].instance.id, "b");

    directory.advance (at (40'000));
    changes.clear();
    // The directory no longer knows that "b" was removed.
    EXPECT_FALSE (directory.changesSince (revision (6), changes));
    changes.clear();
    EXPECT_TRUE (directory.changesSince (revision (8), changes));
    EXPECT_TRUE (changes.empty());
}

TEST (MeshUpdate, RoundTripsColdStartTimesAndEvacuations)
{
    MeshUpdate update;
    auto instance = makeInstance ("a", "z1", 1);
    instance.coldRemaining = Milliseconds (1234);
    update.instances = { { instance, 7, false } };
    update.evacuations = { { "z1", 8, false }, { "z2", 9, true } };
    auto config = makeConfiguration (3);
    config.services["desk"].cold = { Milliseconds (3000), 13 };
    update.configuration = ConfigurationChange{ revision (9), 0, config, {} };

    const auto read = Resolve ([&] { return decodeMeshUpdate (encode (update)); });
    ASSERT_TRUE (read);
    EXPECT_EQ (read.value().instances[0].instance.coldRemaining, Milliseconds (1234));
    EXPECT_EQ (read.value().evacuations, update.evacuations);
    EXPECT_EQ (read.value().configuration->content.services.at ("desk").cold,
               (ColdProfile{ Milliseconds (3000), 13 }));
}

} // namespace
} // namespace copperlead::mesh::test
