/** What nodes and keepers did with the quota of a tenant, summed up over about a second, so that a
    limit that was exceeded can be put down to grants, to nodes that were alone, or to keepers that
    granted beside each other.
*/
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace copperlead::mesh
{

/** One tenant's requests at one node. */
struct QuotaUse
{
    std::string keeper; /**< IP of the one that answered last; empty: none has. */
    std::uint32_t passed = 0, refused = 0;           /**< By a keeper's grant. */
    std::uint32_t passedAlone = 0, refusedAlone = 0; /**< While no keeper could be reached. */
    std::uint32_t returned = 0;                      /**< Passed, and didn't run. */

    bool any() const { return passed + refused + passedAlone + refusedAlone + returned > 0; }
};

/** What one node granted of one tenant's quota. */
struct QuotaKeeping
{
    std::uint32_t granted = 0, refused = 0; /**< Requests. */
    std::uint32_t returned = 0;             /**< Requests that were granted and not passed. */
    std::uint32_t redirected = 0;           /**< Asks: another keeper lives. */
    std::uint32_t begun = 0;                /**< How often it began with a new bucket. */
    double reachableShare = 0;              /**< Of the fleet's nodes, at the last grant. */
    double level = 0;                       /**< Of its bucket, after the last grant. */

    bool any() const { return granted + refused + returned + redirected + begun > 0; }
};

} // namespace copperlead::mesh
