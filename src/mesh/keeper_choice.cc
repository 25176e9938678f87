#include "mesh/keeper_choice.h"

#include <algorithm>

namespace copperlead::mesh
{

const QuotaNode* KeeperChoice::next (Timestamp now, const std::vector<QuotaNode>& candidates,
                                     const std::vector<std::string>& tried) const
{
    for (const auto& node : candidates)
    {
        const auto found = silentAt.find (node.ip);
        const bool isSilent = found != silentAt.end() && now - found->second < silenceTime;

        if (! isSilent && std::find (tried.begin(), tried.end(), node.ip) == tried.end())
            return &node;
    }

    return nullptr;
}

} // namespace copperlead::mesh
