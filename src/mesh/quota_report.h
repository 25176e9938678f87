/** Per-tenant counts of what nodes and keepers did with a quota, collected over about a second.
    When a limit is exceeded, they show whether the cause was grants by one keeper, nodes that
    reached no keeper, or several keepers that granted at the same time.
*/
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace copperlead::mesh
{

/** How one node handled the requests of one tenant. */
struct QuotaUsage
{
    std::string keeper; /**< IP of the keeper that answered last; empty if none has answered. */
    std::uint32_t passed = 0, refused = 0;           /**< Requests decided by a keeper's answer. */
    std::uint32_t passedAlone = 0, refusedAlone = 0; /**< Requests decided without a keeper. */
    std::uint32_t returned = 0; /**< Requests that were passed and did not run. */

    bool any() const { return passed + refused + passedAlone + refusedAlone + returned > 0; }
};

/** What one node did as the keeper of one tenant's quota. */
struct QuotaKeeperActivity
{
    std::uint32_t granted = 0, refused = 0; /**< Tenant requests. */
    std::uint32_t returned = 0;             /**< Tenant requests granted and not used. */
    std::uint32_t redirected = 0; /**< Quota requests redirected to another live keeper. */
    std::uint32_t begun = 0;      /**< How often this node started with a new token bucket. */
    double reachableShare = 0;    /**< Share of the fleet's nodes reachable at the last grant. */
    double level = 0;             /**< Token bucket level after the last grant. */

    bool any() const { return granted + refused + returned + redirected + begun > 0; }
};

} // namespace copperlead::mesh
