/** Which node to ask for a tenant's quota: the first of the candidates that answers. Deciding code
    without I/O.
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
    /** @param tried  IPs that were asked in vain already
        @returns the candidate to ask; nullptr when none is left
    */
    const QuotaNode* next (Timestamp now, const std::vector<QuotaNode>& candidates,
                           const std::vector<std::string>& tried) const;

    /** It didn't answer: it is left out for a while. */
    void silent (Timestamp now, const std::string& ip) { silentAt[ip] = now; }
    void answered (const std::string& ip) { silentAt.erase (ip); }

private:
    // A keeper that is started again answers within about a second; until then each ask of it
    // would hold up requests.
    static constexpr Milliseconds silenceTime{ 500 };

    std::unordered_map<std::string, Timestamp> silentAt; /**< By IP. */
};

} // namespace copperlead::mesh
