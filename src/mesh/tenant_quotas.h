/** Enforces tenants' quotas, which apply to the sum over all nodes, on the requests of this node's
    clients. It asks each quota's keeper, the node that grants the quota, for permission, and is
    itself the keeper for some tenants. Used on the reactor's thread only.
*/
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "mesh/answer_time.h"
#include "mesh/keeper_choice.h"
#include "mesh/latency_histogram.h"
#include "mesh/mesh_configuration.h"
#include "mesh/quota_keeper.h"
#include "mesh/quota_lease.h"
#include "mesh/quota_report.h"

namespace copperlead::mesh
{

/** Details of a fallback to this node's local share of a tenant's quota, for the log. */
struct QuotaFallback
{
    std::string tenant;
    std::size_t waiting = 0; /**< Requests decided by this node's share of the quota. */
    std::size_t tried = 0;   /**< Nodes that were asked without success. */
    std::size_t nodes = 0;   /**< Listed nodes. */
    double perSecond = 0;    /**< Rate of the tenant's requests at this node. */
};

/** Callbacks to the node that owns the quotas. */
struct TenantQuotaHooks
{
    /** Sends a datagram to the node with the given IP. */
    std::function<void (const std::string& ip, const std::string& bytes)> send;

    /** Called when no keeper of a tenant's quota could be reached. */
    std::function<void (const QuotaFallback&)> onLocalFallback;

    /** Called about once a second for each tenant with requests at this node. */
    std::function<void (const std::string& tenant, const QuotaUsage&)> onUsageReport;

    /** Called about once a second for each tenant whose quota this node grants. */
    std::function<void (const std::string& tenant, const QuotaKeeperActivity&)> onKeeperReport;
};

/** Totals since the start. */
struct TenantQuotaCounters
{
    std::uint64_t passed = 0, refused = 0; /**< Requests decided by a keeper. */

    /** Requests decided while no keeper could be reached. */
    std::uint64_t passedAlone = 0, refusedAlone = 0;
    std::uint64_t asks = 0, unanswered = 0; /**< Datagrams sent to keepers. */
    std::uint64_t returned = 0;             /**< Requests that were passed but not executed. */
    LatencyHistogram waited; /**< Times that requests waited for a keeper's answer. */
};

/** One tenant's request counts since this node first saw the tenant. */
struct TenantRequestCounts
{
    std::string tenant;
    std::uint64_t passed = 0, refused = 0;
};

/** Decides whether tenants' requests are within their quotas. Not thread-safe. */
class TenantQuotas
{
public:
    /** The decision on a request, and the node that made it. */
    struct Verdict
    {
        bool passed = true;
        std::string keeper;   /**< IP; empty when no keeper was reached and this node decided. */
        Timestamp lapsesAt{}; /**< Expiry of the grant, to be passed to giveBack(). */
    };

    using Callback = std::function<void (const Verdict&)>;

    TenantQuotas (const QuotaBounds& bounds, QuotaNode ownNode, std::uint64_t seed,
                  TenantQuotaHooks hooksToUse);

    void setRoutes (std::shared_ptr<const RouteTable> newRoutes);
    void setDirectory (const DirectorySnapshot& directory);

    /** Decides on a tenant's request. The callback may be invoked before this returns. */
    void acquire (Timestamp now, const Tenant& tenant, Callback callback);

    /** Returns the grant of a request that was passed but not executed.
        @param lapsesAt  the value from the verdict
    */
    void giveBack (Timestamp now, const std::string& tenant, Timestamp lapsesAt);

    /** Handles a received datagram.
        @returns false when it isn't a quota message
    */
    bool receive (Timestamp now, const std::string& ip, std::string_view datagram);

    /** Handles answer timeouts, pings and reports that are due. To be called at nextDue(). */
    void advance (Timestamp now);

    /** Time of the next call to advance(), or Timestamp::max() when nothing is pending. */
    Timestamp nextDue() const;

    const TenantQuotaCounters& counters() const { return counts; }

    /** Request counts of the `most` busiest tenants at this node. If there are more tenants, a last
        entry without a name has the sum of the others.
    */
    std::vector<TenantRequestCounts> busiestTenants (std::size_t most) const;
    const QuotaKeeperCounters& keeperCounters() const { return keeper.counters(); }

private:
    /** A request that waits for a keeper's answer. */
    struct PendingRequest
    {
        Callback callback;
        Timestamp since{};
    };

    /** The ask that is awaiting an answer, and the keepers tried so far. */
    struct CurrentAsk
    {
        std::uint64_t number = 0; /**< 0 when there is none. */
        std::uint32_t wanted = 0, returned = 0;
        Quota quota;
        std::string ip;
        int sent = 0;          /**< Number of times sent. */
        Timestamp timeoutAt{}; /**< When the answer times out. */
        bool redirected = false;
        std::vector<std::string> tried;
    };

    /** An ask that was sent. It is kept for a while even after its answer has timed out, since a
        late grant can still be used.
    */
    struct SentAsk
    {
        std::string tenant, ip;
        Timestamp sentAt{};
        int sent = 0; /**< Number of times sent. */
    };

    struct TenantState
    {
        QuotaLease lease;
        std::deque<PendingRequest> waiting;
        std::vector<QuotaNode> candidates;
        bool hasCandidates = false;
        std::string lastKeeper; /**< IP of the keeper that answered last. */
        std::uint64_t passed = 0, refused = 0;
        QuotaUsage use; /**< Counts since the last report. */
        CurrentAsk currentAsk;
    };

    const Tenant* tenantNamed (const std::string& name) const;
    TenantState& stateFor (const std::string& tenant);
    void askIfNeeded (Timestamp now, const std::string& tenant);
    void askNextKeeper (Timestamp now, const std::string& tenant, TenantState& state);
    void askKeeper (Timestamp now, const std::string& tenant, TenantState& state,
                    const std::string& ip);
    static QuotaRequest makeAsk (const std::string& tenant, const TenantState& state);
    void sendAsk (Timestamp now, const std::string& tenant, TenantState& state);
    void onAnswerTimeout (Timestamp now, const std::string& tenant);
    void receiveGrant (Timestamp now, const std::string& ip, const QuotaGrant& grant);
    void applyGrant (Timestamp now, const std::string& tenant, const QuotaGrant& grant);
    void admitAll (Timestamp now, TenantState& state);
    void admitGranted (Timestamp now, TenantState& state, bool refuseRemaining);
    void dropExpiredAsks (Timestamp now);
    void decideLocally (Timestamp now, const std::string& tenant, TenantState& state);
    QuotaGrant answerAsk (Timestamp now, const QuotaRequest& ask, const std::string& ip);
    void pass (Timestamp now, const PendingRequest& waiting, TenantState& state, bool passed,
               bool alone);
    void ping (Timestamp now);
    QuotaPing makePingReply (const QuotaPing& ping);

    /** Whether this node has a configuration, without which it doesn't know the tenants' quotas. */
    bool isConfigured() const { return routes != nullptr; }
    void scheduleReport (Timestamp now);
    void report();

    QuotaNode own;
    TenantQuotaHooks hooks;
    std::shared_ptr<const RouteTable> routes;
    QuotaView view;
    QuotaKeeper keeper;
    KeeperChoice choice;
    std::minstd_rand random;
    std::unordered_map<std::string, TenantState> byTenant;
    AnswerTime answerTime;
    std::map<std::uint64_t, SentAsk> sentAsks;                  /**< Keyed by ask number. */
    std::set<std::pair<Timestamp, std::string>> answerTimeouts; /**< With the tenant's name. */
    std::uint64_t lastNumber = 0;
    Timestamp pingAt = Timestamp::max();
    Timestamp reportAt = Timestamp::max();
    TenantQuotaCounters counts;
};

} // namespace copperlead::mesh
