/** Who keeps a tenant's quota, as one node sees the fleet. Rendezvous hashing over the nodes that
   are listed: the best node of each zone is a candidate, and of these the best is the keeper; the
    others stand in when it can't be reached, so that each side of a cut has one. Nodes with the
    same list agree without a word. Immutable.
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

    /** @param nodesToUse  each once, in any order; this one may be missing */
    QuotaView (std::vector<QuotaNode> nodesToUse, QuotaNode ownNode);

    /** The best node of each zone for a tenant, the keeper first. */
    std::vector<QuotaNode> candidates (std::string_view tenant) const;

    /** The candidates that go before this node. */
    std::vector<QuotaNode> candidatesBeforeOwn (std::string_view tenant) const;

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

/** The same for the same candidates in the same order. */
std::uint64_t digestOf (const std::vector<QuotaNode>& candidates);

/** The nodes beside listed instances. */
std::vector<QuotaNode> quotaNodesOf (const DirectorySnapshot& directory);

} // namespace copperlead::mesh
