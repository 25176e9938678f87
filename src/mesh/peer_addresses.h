/** Where the other nodes are, by zone. A node stands beside each listed instance, at its IP. */
#pragma once

#include <string>
#include <vector>

#include "mesh/instance_directory.h"

namespace copperlead::mesh
{

/** IPs, each once, in order. */
struct PeerAddresses
{
    std::vector<std::string> inZone;
    std::vector<std::string> elsewhere;
};

/** @param zone   of this node
    @param ownIp  left out
*/
PeerAddresses peersOf (const DirectorySnapshot& directory, const std::string& zone,
                       const std::string& ownIp);

} // namespace copperlead::mesh
