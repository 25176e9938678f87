/** The limits within which the quotas of all tenants are enforced. */
#pragma once

#include "base/time.h"
#include "mesh/tenant.h"

namespace copperlead::mesh
{

/** The fleet-wide limit on a tenant's requests. Within any window, at most
    (rate x window + burst) x (1 + excessShare) + slack of them may run over all nodes.
*/
struct QuotaBounds
{
    Milliseconds window{ 5000 };
    double excessShare = 0.25; /**< Permitted excess, as a share of the quota within a window. */
    double slack = 20;         /**< Further permitted excess in requests per window. */

    /** @returns the requests per second that a keeper may grant steadily. The burst is spread over
        the window, so that a node that asks steadily isn't refused what the quota allows.
    */
    double sustainedRate (const Quota& quota) const
    {
        return quota.requestsPerSecond +
               quota.burst / std::chrono::duration<double> (window).count();
    }

    /** @returns the requests that may run within a window in addition to the quota. */
    double permittedExcess (const Quota& quota) const
    {
        const auto seconds = std::chrono::duration<double> (window).count();
        return excessShare * (quota.requestsPerSecond * seconds + quota.burst) + slack;
    }
};

/** How long a node may use what its keeper granted. Requests that are granted before a window
    and run within it add up to rate x this duration to that window. With a window of 5 s, this is
    at most 0.16 of what the rate allows.
*/
inline constexpr Milliseconds quotaLeaseDuration{ 800 };

} // namespace copperlead::mesh
