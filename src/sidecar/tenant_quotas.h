/** Holds the requests of this node's clients to their tenants' quotas, which hold over all nodes:
   asks the keepers of the quotas for room, and keeps those of some tenants for others. Of the
   reactor's thread.
*/
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "mesh/answer_time.h"
#include "mesh/keeper_choice.h"
#include "mesh/latency_histogram.h"
#include "mesh/mesh_configuration.h"
#include "mesh/quota_keeper.h"
#include "mesh/quota_lease.h"
#include "sidecar/decision_log.h"
#include "transport/reactor.h"

namespace copperlead::sidecar
{

struct TenantQuotaSettings
{
    mesh::QuotaBounds bounds;
    mesh::QuotaNode own;
    std::uint64_t seed = 0;
};

/** Counted since the start. */
struct TenantQuotaCounters
{
    std::uint64_t passed = 0, refused = 0;           /**< Requests, by a keeper's grant. */
    std::uint64_t passedAlone = 0, refusedAlone = 0; /**< While no keeper could be reached. */
    std::uint64_t asks = 0, unanswered = 0;          /**< Datagrams to keepers. */
    std::uint64_t returned = 0;    /**< Requests that were passed and didn't run. */
    mesh::LatencyHistogram waited; /**< Of requests that waited for a keeper's answer. */
};

class TenantQuotas : public std::enable_shared_from_this<TenantQuotas>
{
public:
    /** Whether a request may go on; when not, by whose count. */
    struct Verdict
    {
        bool passed = true;
        std::string keeper; /**< IP; empty: this node's part, since no keeper was reached. */
    };

    using Callback = std::function<void (const Verdict&)>;

    TenantQuotas (std::shared_ptr<Reactor> reactorToUse, TenantQuotaSettings settingsToUse,
                  std::shared_ptr<DecisionLog> logToUse);

    /** Sends a datagram to the node at an IP. */
    std::function<void (const std::string& ip, const std::string& bytes)> send;

    void setRoutes (std::shared_ptr<const mesh::RouteTable> newRoutes);
    void setDirectory (const mesh::DirectorySnapshot& directory);

    /** Asks whether a request of a tenant may go on. The callback may come before this returns. */
    void take (const mesh::Tenant& tenant, Callback callback);

    /** A request that was passed has not run after all. */
    void giveBack (const std::string& tenant);

    /** @returns false when the datagram is none of the quotas' */
    bool receive (const std::string& ip, std::string_view datagram);

    const TenantQuotaCounters& counters() const { return counts; }
    const mesh::QuotaKeeperCounters& keeperCounters() const { return keeper.counters(); }

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
        std::string ip;
        int sent = 0;
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
        mesh::QuotaLease lease;
        std::deque<Waiting> waiting;
        std::vector<mesh::QuotaNode> candidates;
        bool hasCandidates = false;
        std::string lastKeeper; /**< IP of the keeper that answered last. */
        Asking asking;
    };

    const mesh::Tenant* tenantNamed (const std::string& name) const;
    TenantState& stateOf (const std::string& tenant);
    void askIfNeeded (const std::string& tenant);
    void askNext (const std::string& tenant, TenantState& state);
    void askAt (const std::string& tenant, TenantState& state, const std::string& ip);
    void sendAsk (const std::string& tenant, TenantState& state);
    void armTimeout (const std::string& tenant, const TenantState& state);
    void onTimeout (const std::string& tenant, std::uint64_t number, int sent);
    void takeGrant (const std::string& ip, const mesh::QuotaGrant& grant);
    void onGrant (const std::string& tenant, const mesh::QuotaGrant& grant);
    void passGranted (TenantState& state, bool refuseOthers);
    void forgetOldAsks();
    void goAlone (const std::string& tenant, TenantState& state);
    mesh::QuotaGrant keep (const mesh::QuotaAsk& ask, const std::string& ip);
    void pass (Waiting waiting, const TenantState& state, bool passed, bool alone);
    void armPings();
    void ping();

    std::shared_ptr<Reactor> reactor;
    TenantQuotaSettings settings;
    std::shared_ptr<DecisionLog> log;
    std::shared_ptr<const mesh::RouteTable> routes;
    mesh::QuotaView view;
    mesh::QuotaKeeper keeper;
    mesh::KeeperChoice choice;
    std::unordered_map<std::string, TenantState> byTenant;
    mesh::AnswerTime answerTime;
    std::map<std::uint64_t, SentAsk> sentAsks; /**< By number. */
    std::uint64_t lastNumber = 0;
    bool pinging = false;
    TenantQuotaCounters counts;
};

} // namespace copperlead::sidecar
