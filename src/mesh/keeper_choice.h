/** Chooses the node to ask for a tenant's quota: the first candidate that has not recently
    failed to answer. The class does no I/O.
*/
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "mesh/quota_view.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class KeeperChoice
{
public:
    /** @param tried  IPs of the candidates that have already been asked without success
        @returns the candidate to ask; nullptr when none is left
    */
    const QuotaNode* next (Timestamp now, const std::vector<QuotaNode>& candidates,
                           const std::vector<std::string>& tried) const;

    /** Records that a node did not answer, which excludes it from the choice for a while. */
    void markUnresponsive (Timestamp now, const std::string& ip) { unansweredAt[ip] = now; }

    /** Records that a node answered, which makes it eligible again. */
    void markResponsive (const std::string& ip) { unansweredAt.erase (ip); }

private:
    // How long a node is excluded after it did not answer. A restarted keeper answers within about
    // a second; until then each attempt to ask it would delay requests.
    static constexpr Milliseconds exclusionTime{ 500 };

    /** Time of the last failure, by IP. */
    std::unordered_map<std::string, Timestamp> unansweredAt;
};

} // namespace copperlead::mesh
