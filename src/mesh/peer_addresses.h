/** Addresses of the other nodes, by zone. Each listed instance has a node at the same IP. */
#pragma once

#include <string>
#include <vector>

#include "mesh/instance_directory.h"

namespace copperlead::mesh
{

/** Sorted IPs without duplicates. */
struct PeerAddresses
{
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
};

/** Lists the nodes of all listed instances.
    @param zone   zone of this node
    @param ownIp  IP of this node, which is excluded
*/
PeerAddresses peersOf (const DirectorySnapshot& directory, const std::string& zone,
                       const std::string& ownIp);

} // namespace copperlead::mesh
