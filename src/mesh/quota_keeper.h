/** Keeps the quotas of those tenants whose keeper this node is: grants room to the nodes that ask.
    Deciding code without I/O.

    Nothing shared can be written, so nobody can say that there is one keeper only. What keeps two
    from granting the whole twice is that each grants the rate in proportion to the nodes that it
    can reach: it asks one node of each other zone now and then, and a zone that doesn't answer
    counts for nothing. Two sides of a cut so add up to one whole. What a node that reaches nobody
    may pass on is its part of what was granted lately, so that the parts of all add up to one, too.
   A node that isn't the first in its own ranking grants only while all that go before it are
   silent. A keeper that begins, or was not asked for a while, begins with little, since another may
   have granted meanwhile; one that slept finds all that it heard too old.
*/
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mesh/flow_shares.h"
#include "mesh/quota_bounds.h"
#include "mesh/quota_message.h"
#include "mesh/quota_report.h"
#include "mesh/quota_view.h"
#include "mesh/token_bucket.h"

namespace copperlead::mesh
{

/** Counted since the start. */
struct QuotaKeeperCounters
{
    std::uint64_t asked = 0, granted = 0, refused = 0; /**< Asks; requests granted and not. */
    std::uint64_t redirected = 0;                      /**< Asks: another keeper is alive. */
};

/** Not thread-safe. */
class QuotaKeeper
{
public:
    QuotaKeeper (QuotaBounds boundsToKeep, std::uint64_t seed);

    void setView (QuotaView newView) { view = std::move (newView); }

    /** Something came from a node. */
    void heard (Timestamp now, const std::string& ip);

    /** @param ip  of the node that asks */
    QuotaGrant ask (Timestamp now, const Tenant& tenant, const QuotaAsk& ask,
                    const std::string& ip);

    /** The nodes to ping now. To be called every pingInterval. */
    std::vector<std::string> pingsDue (Timestamp now);

    /** Whether anything is kept here, so that pings are to be sent. */
    bool active (Timestamp now) const { return now - lastAskAt <= idleTime; }

    /** The share of the fleet's nodes that this one can reach, by what it heard lately. */
    double reachableShare (Timestamp now) const;

    /** What was done since the last call, by tenant. */
    std::vector<std::pair<std::string, QuotaKeeping>> takeReports();

    const QuotaKeeperCounters& counters() const { return counts; }

    static constexpr Milliseconds pingInterval{ 150 };

private:
    // Three pings may be lost, or late, before a zone counts as cut off.
    static constexpr Milliseconds hearingTime{ 500 };
    static constexpr Milliseconds idleTime{ 2500 };
    // In which a keeper that goes before would have answered a ping.
    static constexpr Milliseconds silenceTime{ 120 };

    struct Kept
    {
        std::optional<TokenBucket> bucket;
        FlowShares flow; /**< Of what was granted, by IP. */
        Timestamp askedAt{};
        Timestamp shortAt{};         /**< When less was granted than asked for. */
        Timestamp standingInSince{}; /**< While others go before this node. */
        QuotaKeeping report;
    };

    bool heardLately (Timestamp now, const std::string& ip) const;
    std::string livingKeeper (Timestamp now, const Tenant& tenant, Kept& kept);
    double alonePartOf (Timestamp now, const Tenant& tenant, const Kept& kept,
                        const std::string& ip) const;
    bool mayGrant (Timestamp now, const Kept& kept) const;
    void fill (Timestamp now, const Tenant& tenant, Kept& kept);
    double rateOf (Timestamp now, const Tenant& tenant) const;
    double capacityOf (const Tenant& tenant) const;

    QuotaBounds bounds;
    QuotaView view;
    std::minstd_rand random;
    std::unordered_map<std::string, Kept> byTenant;
    std::unordered_map<std::string, Timestamp> heardAt;     /**< By IP. */
    std::unordered_map<std::string, Timestamp> zoneHeardAt; /**< By zone. */
    Timestamp lastAskAt{};
    QuotaKeeperCounters counts;
};

} // namespace copperlead::mesh
