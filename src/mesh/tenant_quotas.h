/** Holds the requests of this node's clients to their tenants' quotas, which hold over all nodes:
   asks the keepers of the quotas for room, and keeps those of some tenants for others. Of the
   reactor's thread.
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

/** A node is alone with a tenant's requests. */
struct QuotaSolitude
{
    std::string tenant;
    std::size_t waiting = 0; /**< Requests that are decided by this node's part. */
    std::size_t tried = 0;   /**< Nodes that were asked in vain. */
    std::size_t nodes = 0;   /**< That are listed. */
    double perSecond = 0;    /**< Of the tenant's requests, here. */
};

/** What the quotas need of their node. */
struct TenantQuotaHooks
{
    /** Sends a datagram to the node at an IP. */
    std::function<void (const std::string& ip, const std::string& bytes)> send;

    /** No keeper of a tenant's quota could be reached. */
    std::function<void (const QuotaSolitude&)> alone;

    /** About once a second for each tenant with requests, and for each whose quota is kept here. */
    std::function<void (const std::string& tenant, const QuotaUse&)> used;
    std::function<void (const std::string& tenant, const QuotaKeeping&)> kept;
};

/** Counted since the start. */
struct TenantQuotaCounters
{
    std::uint64_t passed = 0, refused = 0;           /**< Requests, by a keeper's grant. */
    std::uint64_t passedAlone = 0, refusedAlone = 0; /**< While no keeper could be reached. */
    std::uint64_t asks = 0, unanswered = 0;          /**< Datagrams to keepers. */
    std::uint64_t returned = 0; /**< Requests that were passed and didn't run. */
    LatencyHistogram waited;    /**< Of requests that waited for a keeper's answer. */
};

/** One tenant's requests at this node since it was first seen here. */
struct TenantUse
{
    std::string tenant;
    std::uint64_t passed = 0, refused = 0;
};

/** Not thread-safe. */
class TenantQuotas
{
public:
    /** Whether a request may go on; when not, by whose count. */
    struct Verdict
    {
        bool passed = true;
        std::string keeper;   /**< IP; empty: this node's part, since no keeper was reached. */
        Timestamp lapsesAt{}; /**< For giveBack(). */
    };

    using Callback = std::function<void (const Verdict&)>;

    TenantQuotas (const QuotaBounds& bounds, QuotaNode ownNode, std::uint64_t seed,
                  TenantQuotaHooks hooksToUse);

    void setRoutes (std::shared_ptr<const RouteTable> newRoutes);
    void setDirectory (const DirectorySnapshot& directory);

    /** Asks whether a request of a tenant may go on. The callback may come before this returns. */
    void take (Timestamp now, const Tenant& tenant, Callback callback);

    /** A request that was passed has not run after all.
        @param lapsesAt  as the verdict said
    */
    void giveBack (Timestamp now, const std::string& tenant, Timestamp lapsesAt);

    /** @returns false when the datagram is none of the quotas' */
    bool receive (Timestamp now, const std::string& ip, std::string_view datagram);

    /** Gives up answers that don't come and pings. To be called at nextDue(). */
    void advance (Timestamp now);

    /** The largest time when nothing is to be done. */
    Timestamp nextDue() const;

    const TenantQuotaCounters& counters() const { return counts; }

    /** The tenants with the most requests here, and one row without a name for all others. */
    std::vector<TenantUse> uses (std::size_t most) const;
    const QuotaKeeperCounters& keeperCounters() const { return keeper.counters(); }

private:
    /** A request that waits for a keeper's answer. */
    struct Waiting
    {
        Callback callback;
        Timestamp since{};
    };

    /** An ask that is under way, with what was tried before. */
    struct Asking
    {
        std::uint64_t number = 0; /**< 0: none is. */
        std::uint32_t wanted = 0, returned = 0;
        Quota quota;
        std::string ip;
        int sent = 0;
        Timestamp dueAt{}; /**< When its answer is given up. */
        bool redirected = false;
        std::vector<std::string> tried;
    };

    /** An ask that was sent, kept for a while, also when it isn't waited for any more: what is
       granted late may still be used.
    */
    struct SentAsk
    {
        std::string tenant, ip;
        Timestamp sentAt{};
        int sent = 0; /**< How often. */
    };

    struct TenantState
    {
        QuotaLease lease;
        std::deque<Waiting> waiting;
        std::vector<QuotaNode> candidates;
        bool hasCandidates = false;
        std::string lastKeeper; /**< IP of the keeper that answered last. */
        std::uint64_t passed = 0, refused = 0;
        QuotaUse use; /**< Since the last report. */
        Asking asking;
    };

    const Tenant* tenantNamed (const std::string& name) const;
    TenantState& stateOf (const std::string& tenant);
    void askIfNeeded (Timestamp now, const std::string& tenant);
    void askNext (Timestamp now, const std::string& tenant, TenantState& state);
    void askAt (Timestamp now, const std::string& tenant, TenantState& state,
                const std::string& ip);
    static QuotaAsk askOf (const std::string& tenant, const TenantState& state);
    void sendAsk (Timestamp now, const std::string& tenant, TenantState& state);
    void giveUpAnswer (Timestamp now, const std::string& tenant);
    void takeGrant (Timestamp now, const std::string& ip, const QuotaGrant& grant);
    void onGrant (Timestamp now, const std::string& tenant, const QuotaGrant& grant);
    void passAll (Timestamp now, TenantState& state);
    void passGranted (Timestamp now, TenantState& state, bool refuseOthers);
    void forgetOldAsks (Timestamp now);
    void goAlone (Timestamp now, const std::string& tenant, TenantState& state);
    QuotaGrant keep (Timestamp now, const QuotaAsk& ask, const std::string& ip);
    void pass (Timestamp now, const Waiting& waiting, TenantState& state, bool passed, bool alone);
    void ping (Timestamp now);
    QuotaPing replyTo (const QuotaPing& ping);

    /** Whether this node can say whose keeper it is. */
    bool isConfigured() const { return routes != nullptr; }
    void reportSoon (Timestamp now);
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
    std::map<std::uint64_t, SentAsk> sentAsks;              /**< By number. */
    std::set<std::pair<Timestamp, std::string>> answersDue; /**< Of tenants. */
    std::uint64_t lastNumber = 0;
    Timestamp pingAt = Timestamp::max();
    Timestamp reportAt = Timestamp::max();
    TenantQuotaCounters counts;
};

} // namespace copperlead::mesh
