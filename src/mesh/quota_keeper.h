/** Keeps the quotas of those tenants whose keeper this node is: grants room to the nodes that ask.
    Deciding code without I/O.

    Nothing shared can be written, so nobody can say that there is one keeper only. What keeps two
    from granting the whole twice is that each grants the rate in proportion to the nodes that it
    can reach and that take the same nodes for candidates: it asks one node of each other zone now
    and then, and a zone that doesn't answer, or answers that it has others, counts for nothing. Two
    sides of a cut so add up to one whole, and so do two keepers of which each is the first in the
    lists of some. What a node that reaches nobody may pass on is its part of what was granted
    lately, so that the parts of all add up to one, too.
   A node that isn't the first in its own ranking grants only while all that go before it are
   silent. A keeper that begins, or was not asked for a while, begins with little, since another may
   have granted meanwhile; one that slept finds all that it heard too old.
*/
#pragma once

#include <cstdint>
#include <deque>
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

    void setView (QuotaView newView);

    /** Something came from a node. */
    void heard (Timestamp now, const std::string& ip);

    /** A node told its digest of a tenant's candidates. */
    void heardDigest (Timestamp now, const std::string& ip, const CandidatesDigest& told);

    /** The digest of a tenant's candidates as this node knows them. */
    CandidatesDigest digestFor (const std::string& tenant);

    /** Those of the tenants whose quotas are kept here. */
    std::vector<CandidatesDigest> keptDigests();

    /** @param ip  of the node that asks */
    QuotaGrant ask (Timestamp now, const Tenant& tenant, const QuotaAsk& ask,
                    const std::string& ip);

    /** The nodes to ping now. To be called every pingInterval. */
    std::vector<std::string> pingsDue (Timestamp now);

    /** Whether a tenant's quota has been kept only since the last call. */
    bool hasBegun() { return std::exchange (begun, false); }

    /** Whether anything is kept here, so that pings are to be sent. */
    bool active (Timestamp now) const { return now - lastAskAt <= idleTime; }

    /** The share of the fleet's nodes that this one can reach and that take the same nodes for
        candidates of the tenant, by what it heard lately.
    */
    double reachableShare (Timestamp now, const std::string& tenant) const;

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

    /** What a zone's node said last of the candidates. */
    struct ZoneWord
    {
        Timestamp at{};
        bool agrees = false;
    };

    struct Kept
    {
        std::unordered_map<std::string, ZoneWord> words; /**< By zone. */
        std::optional<TokenBucket> bucket;
        FlowShares flow; /**< Of what was granted, by IP. */
        std::deque<std::pair<Timestamp, std::uint32_t>> unlapsed; /**< Grants, by their time. */
        std::uint32_t unlapsedSum = 0;
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
    void takeBack (Timestamp now, const Tenant& tenant, Kept& kept, std::uint32_t returned) const;
    double reachableShare (Timestamp now, const Kept& kept) const;
    double rateOf (Timestamp now, const Tenant& tenant, const Kept& kept) const;
    double capacityOf (const Tenant& tenant) const;

    QuotaBounds bounds;
    QuotaView view;
    std::minstd_rand random;
    std::unordered_map<std::string, Kept> byTenant;
    std::unordered_map<std::string, Timestamp> heardAt; /**< By IP. */

    // Ranking all nodes for each ping would cost a large fleet much; bounded, since names come from
    // others' datagrams.
    static constexpr std::size_t mostKnownDigests = 1024;
    std::unordered_map<std::string, std::uint64_t> digests; /**< By tenant, of the present view. */
    Timestamp lastAskAt{};
    bool begun = false;
    QuotaKeeperCounters counts;
};

} // namespace copperlead::mesh
