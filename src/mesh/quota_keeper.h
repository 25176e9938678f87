/** Grants tokens of those tenants' quotas whose keeper this node is to the nodes that ask for
    them. The class does no I/O.

    The nodes have no shared storage that they can write, so a single keeper can't be guaranteed.
    To keep two keepers from granting the whole quota twice, each grants the rate in proportion
    to the nodes that it can reach and that know the same candidates. It regularly pings one node
    of each zone; a zone that doesn't answer, or that knows other candidates, counts as
    unreachable. The grants on both sides of a network partition therefore add up to one quota,
    and so do those of two keepers that each rank first in the lists of some nodes. A node that
    reaches no keeper may pass on its share of what was granted lately, so that the shares of all
    nodes add up to one quota, too.

    A node that doesn't rank first for a tenant grants only while all candidates that rank above
    it are silent. A keeper that starts, that has not been asked for a while, or whose rank has
    changed starts with few tokens, since another keeper may have granted in that time. For a keeper
    whose process was paused, all that it heard before is out of date.
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

/** Counts since the process started. */
struct QuotaKeeperCounters
{
    /** Quota requests received; tokens granted and refused. */
    std::uint64_t asked = 0, granted = 0, refused = 0;
    std::uint64_t redirected = 0; /**< Quota requests redirected to another live keeper. */
};

/** Not thread-safe. */
class QuotaKeeper
{
public:
    QuotaKeeper (QuotaBounds boundsToEnforce, std::uint64_t seed);

    void setView (QuotaView newView);

    /** Records that a datagram of a node arrived, which shows that the node can be reached. */
    void recordContact (Timestamp now, const std::string& ip);

    /** Records a node's digest of a tenant's candidates. */
    void recordDigest (Timestamp now, const std::string& ip, const CandidatesDigest& received);

    /** @returns the digest of a tenant's candidates that this node knows. */
    CandidatesDigest digestFor (const std::string& tenant);

    /** @returns the digests for the tenants whose quotas this node keeps. */
    std::vector<CandidatesDigest> digestsOfKeptTenants();

    /** Answers a quota request.
        @param ip  IP of the asking node
    */
    QuotaGrant handleRequest (Timestamp now, const Tenant& tenant, const QuotaRequest& ask,
                              const std::string& ip);

    /** Discards outdated state. Must be called once per pingInterval.
        @returns the IPs of the nodes to ping now
    */
    std::vector<std::string> nodesToPing (Timestamp now);

    /** @returns whether this node has started to keep a tenant's quota since the last call. */
    bool takeStartedFlag() { return std::exchange (begun, false); }

    /** @returns whether quota requests have arrived lately, so that pings must be sent. */
    bool active (Timestamp now) const { return now - lastAskAt <= idleTimeout; }

    /** @returns the share of the fleet's nodes that this node can reach and that know the same
        candidates for the tenant, judged by the latest datagrams.
    */
    double reachableShare (Timestamp now, const std::string& tenant) const;

    /** @returns what this node did as a keeper since the last call, by tenant. */
    std::vector<std::pair<std::string, QuotaKeeperActivity>> takeReports();

    const QuotaKeeperCounters& counters() const { return counts; }

    static constexpr Milliseconds pingInterval{ 150 };

private:
    // A node or zone counts as unreachable after this time without a datagram. Three pings may be
    // lost or late before that.
    static constexpr Milliseconds reachabilityTimeout{ 500 };
    // A tenant's quota is no longer kept after this time without a quota request.
    static constexpr Milliseconds idleTimeout{ 2500 };
    // A stand-in waits this long before it grants. A live keeper that ranks above it would have
    // answered a ping by then.
    static constexpr Milliseconds standInDelay{ 120 };

    /** Whether a node of a zone agreed about the candidates in its latest digest. */
    struct ZoneAgreement
    {
        Timestamp at{};
        bool agrees = false;
    };

    /** State of a tenant's quota that this node keeps. */
    struct KeptQuota
    {
        std::unordered_map<std::string, ZoneAgreement> agreements; /**< By zone. */
        bool ranksFirst = false; /**< Whether this node is the first candidate in the view. */
        std::optional<TokenBucket> bucket;
        Timestamp begunAt{}; /**< When the bucket was started. */
        FlowShares flow;     /**< Tokens granted, by IP. */
        /** Time and tokens of each grant. */
        std::deque<std::pair<Timestamp, std::uint32_t>> unexpired;
        std::uint32_t unexpiredSum = 0;
        Timestamp askedAt{};
        Timestamp shortageAt{};      /**< When fewer tokens were last granted than asked for. */
        Timestamp standingInSince{}; /**< Start of standing in; zero if this node ranks first. */
        QuotaKeeperActivity report;
    };

    KeptQuota& keptQuotaOf (const std::string& tenant);
    bool ranksFirst (const std::string& tenant) const;
    bool heardLately (Timestamp now, const std::string& ip) const;
    std::string liveKeeperAbove (Timestamp now, const Tenant& tenant, KeptQuota& kept);
    double fallbackRateOf (Timestamp now, const Tenant& tenant, const KeptQuota& kept,
                           const std::string& ip) const;
    bool mayGrant (Timestamp now, const KeptQuota& kept) const;
    void refill (Timestamp now, const Tenant& tenant, KeptQuota& kept);
    void takeBack (Timestamp now, const Tenant& tenant, KeptQuota& kept,
                   std::uint32_t returned) const;
    double reachableShare (Timestamp now, const KeptQuota& kept) const;
    double rateOf (Timestamp now, const Tenant& tenant, const KeptQuota& kept) const;
    double capacityOf (const Tenant& tenant) const;

    QuotaBounds bounds;
    QuotaView view;
    std::minstd_rand random;
    std::unordered_map<std::string, KeptQuota> byTenant;
    std::unordered_map<std::string, Timestamp> heardAt; /**< By IP. */

    // Digests are cached because ranking all nodes for each ping is expensive in a large fleet. The
    // cache is bounded because tenant names come from datagrams of other nodes.
    static constexpr std::size_t maxCachedDigests = 1024;
    /** Digests of the current view, by tenant. */
    std::unordered_map<std::string, std::uint64_t> digests;
    Timestamp lastAskAt{};
    bool begun = false;
    QuotaKeeperCounters counts;
};

} // namespace copperlead::mesh
