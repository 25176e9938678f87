#include "mesh/keeper_choice.h"

#include <algorithm>

namespace copperlead::mesh
{

const QuotaNode* KeeperChoice::next (Timestamp now, const std::vector<QuotaNode>& candidates,
                                     const std::vector<std::string>& tried) const
{
    for (const auto& node : candidates)
    {
        const auto found = unansweredAt.find (node.ip);
        const bool isExcluded = found != unansweredAt.end() && now - found->second < exclusionTime;

        if (! isExcluded && std::find (tried.begin(), tried.end(), node.ip) == tried.end())
            return &node;
    }

    return nullptr;
}

} // namespace copperlead::mesh
