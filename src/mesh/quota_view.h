/** Determines the keeper of each tenant's quota from one node's view of the fleet, by rendezvous
    hashing over the listed nodes. The highest-ranked node of each zone is a candidate, and the
    highest-ranked candidate is the keeper. The other candidates stand in when the keeper can't
    be reached, so that each side of a network partition has one. Nodes with the same list agree
    without communication. Objects are immutable.
*/
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mesh/instance_directory.h"

namespace copperlead::mesh
{

struct QuotaNode
{
    std::string ip;
    std::string zone;

    auto operator<=> (const QuotaNode&) const = default;
};

class QuotaView
{
public:
    QuotaView() = default;

    /** @param nodesToUse  listed nodes, each once and in any order; may lack `ownNode` */
    QuotaView (std::vector<QuotaNode> nodesToUse, QuotaNode ownNode);

    /** @returns the highest-ranked node of each zone for a tenant, the keeper first. */
    std::vector<QuotaNode> candidates (std::string_view tenant) const;

    /** @returns the candidates that rank above this node. */
    std::vector<QuotaNode> candidatesAboveOwn (std::string_view tenant) const;

    /** @returns the zone of a listed node; nullptr when it isn't listed */
    const std::string* zoneOf (const std::string& ip) const;

    const std::vector<QuotaNode>& nodes() const { return all; }
    const std::map<std::string, std::vector<QuotaNode>>& byZone() const { return zones; }
    const QuotaNode& own() const { return ownNode; }

private:
    QuotaNode ownNode;
    std::vector<QuotaNode> all;
    std::map<std::string, std::vector<QuotaNode>> zones;
    std::unordered_map<std::string, std::string> zoneByIp;
};

/** @returns a hash of the candidates' IPs in their order. */
std::uint64_t digestOf (const std::vector<QuotaNode>& candidates);

/** @returns the nodes of the listed instances, except instances that are leaving. */
std::vector<QuotaNode> quotaNodesOf (const DirectorySnapshot& directory);

} // namespace copperlead::mesh
