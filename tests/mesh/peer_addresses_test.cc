#include "mesh/peer_addresses.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr bool sound = true;

using Ips = std::vector<std::string>;

/** A directory of instances in three zones, in which instance b is draining. */
class Peers : public ::testing::Test
{
protected:
    Peers()
    {
        directory.put (at (0), makeInstance ("own", "z1", 1), revision (1));
        directory.put (at (0), makeInstance ("a", "z1", 3), revision (2));
        auto draining = makeInstance ("b", "z1", 2);
        draining.draining = true;
        directory.put (at (0), draining, revision (3));
        directory.put (at (0), makeInstance ("c", "z2", 4), revision (4));
        directory.put (at (0), makeInstance ("d", "z3", 5), revision (5));
    }

    PeerAddresses peers() { return peersOf (*directory.snapshot(), "z1", "10.0.0.1"); }

    InstanceDirectory directory;
};

TEST_F (Peers, AreTheNodesOfAllOtherInstances)
{
    EXPECT_EQ (peers().sameZone, (Ips{ "10.0.0.2", "10.0.0.3" }));
    EXPECT_EQ (peers().otherZones, (Ips{ "10.0.0.4", "10.0.0.5" }));
}

TEST_F (Peers, AreListedOncePerIp)
{
    auto second = makeInstance ("e", "z2", 4);
    second.address.port = 8001;
    directory.put (at (0), second, revision (6));
    EXPECT_EQ (peers().otherZones, (Ips{ "10.0.0.4", "10.0.0.5" }));
}

} // namespace
} // namespace copperlead::mesh::test
