#include "mesh/quota_view.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace copperlead::mesh
{
namespace
{

std::uint64_t scoreOf (std::string_view tenant, const QuotaNode& node)
{
    const auto seed = XXH3_64bits (tenant.data(), tenant.size());
    return XXH3_64bits_withSeed (node.ip.data(), node.ip.size(), seed);
}

} // namespace

QuotaView::QuotaView (std::vector<QuotaNode> nodesToUse, QuotaNode node)
    : ownNode (std::move (node))
    , all (std::move (nodesToUse))
{
    for (const auto& listed : all)
    {
        zones[listed.zone].push_back (listed);
        zoneByIp.emplace (listed.ip, listed.zone);
    }
}

const std::string* QuotaView::zoneOf (const std::string& ip) const
{
    const auto found = zoneByIp.find (ip);
    return found == zoneByIp.end() ? nullptr : &found->second;
}

std::vector<QuotaNode> QuotaView::candidates (std::string_view tenant) const
{
    const auto ranksHigher = [&] (const QuotaNode& a, const QuotaNode& b)
    { return scoreOf (tenant, a) > scoreOf (tenant, b); };
    std::vector<QuotaNode> best;

    for (const auto& [zone, nodes] : zones)
        best.push_back (*std::min_element (nodes.begin(), nodes.end(), ranksHigher));

    std::sort (best.begin(), best.end(), ranksHigher);
    return best;
}

std::vector<QuotaNode> QuotaView::candidatesAboveOwn (std::string_view tenant) const
{
    auto above = candidates (tenant);
    const auto own = scoreOf (tenant, ownNode);
    std::erase_if (above, [&] (const QuotaNode& node) { return scoreOf (tenant, node) <= own; });
    return above;
}

std::uint64_t digestOf (const std::vector<QuotaNode>& candidates)
{
    std::uint64_t digest = 0;

    for (const auto& node : candidates)
        digest = XXH3_64bits_withSeed (node.ip.data(), node.ip.size(), digest);

    return digest;
}

namespace
{

/** @returns the newest entry of an address that isn't leaving; nullptr if all are. Some nodes may
             not know of an entry that has come and gone at the address of another one.
*/
const ListedInstance* stayingAt (const DirectorySnapshot& directory, const std::string& address,
                                 const ListedInstance& newest)
{
    const auto stays = [] (const ListedInstance& listed)
    { return listed.state != InstanceState::leaving; };

    if (stays (newest))
        return &newest;

    const auto others = directory.othersByAddress.find (address);

    if (others == directory.othersByAddress.end())
        return nullptr;

    const auto found = std::find_if (others->second.begin(), others->second.end(), stays);
    return found == others->second.end() ? nullptr : &*found;
}

} // namespace

std::vector<QuotaNode> quotaNodesOf (const DirectorySnapshot& directory)
{
    std::set<QuotaNode> nodes;

    for (const auto& [address, newest] : directory.byAddress)
        if (const auto* listed = stayingAt (directory, address, newest))
            nodes.insert ({ listed->instance.address.ip, listed->instance.zone });

    return { nodes.begin(), nodes.end() };
}

} // namespace copperlead::mesh
