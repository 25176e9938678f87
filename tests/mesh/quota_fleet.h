/** A simulated fleet of nodes that enforce the quota of one tenant, in virtual time. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mesh/tenant_quotas.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{

/** Default size of the fleet. */
constexpr int nodeCount = 40, zoneCount = 4;

/** Nodes that pass requests of one tenant and communicate over a simulated network that loses,
    delays and duplicates datagrams.
*/
class QuotaFleet
{
public:
    explicit QuotaFleet (std::uint64_t seed, double rate = 100)
        : QuotaFleet (seed, { rate, rate / 5 }, nodeCount, zoneCount)
    {
    }

    QuotaFleet (std::uint64_t seed, const Quota& quotaToEnforce, int size, int zones)
        : random (seed)
        , quota (quotaToEnforce)
    {
        for (int n = 0; n < size; ++n)
            quotaNodes.push_back (
                { "10.0.0." + std::to_string (n), "z" + std::to_string (n % zones) });

        nodes.resize (quotaNodes.size());
        isolatedNodes.resize (quotaNodes.size(), false);
        pausedUntilMs.resize (quotaNodes.size(), 0);

        for (int n = 0; n < size; ++n)
            start (n);
    }

    /** Starts or restarts a node. A restarted node has no state from before. */
    void start (int n)
    {
        startUnconfigured (n);
        configure (n);
    }

    /** Starts a node that knows the directory and has no routes and no tenants yet. */
    void startUnconfigured (int n)
    {
        TenantQuotaHooks hooks;
        hooks.send = [this, n] (const std::string& ip, const std::string& bytes)
        { send (n, ip, bytes); };
        hooks.onLocalFallback = [] (const QuotaFallback&) {};
        hooks.onUsageReport = [] (const std::string&, const QuotaUsage&) {};
        hooks.onKeeperReport = [] (const std::string&, const QuotaKeeperActivity&) {};
        nodes[n] = std::make_unique<TenantQuotas> (QuotaBounds{}, quotaNodes[n], random(), hooks);
        nodes[n]->setDirectory (*directory());
    }

    void configure (int n) { nodes[n]->setRoutes (routes()); }

    /** Gives a node a configuration that lacks the tenant. */
    void configureWithoutTenant (int n)
    {
        nodes[n]->setRoutes (std::make_shared<const RouteTable> (
            std::make_shared<const MeshConfiguration> (makeConfiguration (1))));
    }

    void kill (int n) { nodes[n].reset(); }

    /** Gives a node a directory that lacks some nodes. */
    void setDirectoryWithout (int n, const std::set<int>& missing)
    {
        nodes[n]->setDirectory (*directory (missing));
    }

    void setQuota (double rate)
    {
        quota = { rate, rate / 5 };

        for (auto& node : nodes)
            if (node != nullptr)
                node->setRoutes (routes());
    }

    /** Advances the virtual time; each node from `from` to before `until` receives requests. */
    void run (std::int64_t howLongMs, double perSecondEach, int from = 0, int until = nodeCount)
    {
        const auto size = static_cast<int> (nodes.size());
        std::bernoulli_distribution arrives (perSecondEach / 1000);

        for (const auto end = nowMs + howLongMs; nowMs < end; ++nowMs)
        {
            deliver();

            for (int n = 0; n < size; ++n)
            {
                if (! isRunning (n))
                    continue;

                if (nodes[n]->nextDue() <= at (nowMs))
                    nodes[n]->advance (at (nowMs));

                if (n >= from && n < until && arrives (random))
                    request (n);
            }
        }
    }

    /** @returns the index of the node that ranks first for the tenant. */
    int keeper() const
    {
        return indexOf (QuotaView (quotaNodes, quotaNodes[0]).candidates ("a")[0].ip);
    }

    /** @returns the requests that the quota permits within a window of five seconds. */
    double quotaInWindow() const { return 5 * quota.requestsPerSecond + quota.burst; }

    /** @returns the most requests that may pass within a window, permitted excess included. */
    double limitInWindow() const { return quotaInWindow() + QuotaBounds{}.permittedExcess (quota); }

    /** @returns the most requests that were passed in any window of five seconds. */
    double maxPassedInWindow() const
    {
        std::size_t most = 0, first = 0;

        for (std::size_t last = 0; last < passedAt.size(); ++last)
        {
            while (passedAt[last] - passedAt[first] >= 5000)
                ++first;

            most = std::max (most, last - first + 1);
        }

        return static_cast<double> (most);
    }

    /** @returns the share of all requests that were refused. */
    double refusedShare() const
    {
        return refused / std::max (1.0, refused + static_cast<double> (passedAt.size()));
    }

    void resetCounts()
    {
        passedAt.clear();
        refused = 0;
    }

    double lossShare = 0;          /**< Share of the datagrams that are lost. */
    bool instancesAreDown = false; /**< Whether passed requests fail and are given back at once. */
    std::vector<bool> isolatedNodes;         /**< Whether a node reaches no other node, by index. */
    std::set<std::string> partitionedZones;  /**< Zones whose nodes reach no other zone. */
    std::vector<std::int64_t> pausedUntilMs; /**< End of each node's pause, by index. */
    std::vector<QuotaNode> quotaNodes;       /**< All nodes, by index. */
    std::mt19937_64 random;
    std::int64_t nowMs = 0;

private:
    struct Datagram
    {
        int from, to;
        std::string bytes;
    };

    bool isRunning (int n) const { return nodes[n] != nullptr && pausedUntilMs[n] <= nowMs; }

    int indexOf (const std::string& ip) const { return std::stoi (ip.substr (7)); }

    std::shared_ptr<const RouteTable> routes() const
    {
        auto config = makeConfiguration (1);
        Tenant tenant;
        tenant.name = "a";
        tenant.quota = quota;
        config.tenants = { tenant };
        return std::make_shared<const RouteTable> (
            std::make_shared<const MeshConfiguration> (config));
    }

    DirectoryPointer directory (const std::set<int>& missing = {}) const
    {
        InstanceDirectory all;

        for (int n = 0; n < static_cast<int> (quotaNodes.size()); ++n)
        {
            if (missing.contains (n))
                continue;

            auto instance = makeInstance ("i" + std::to_string (n), quotaNodes[n].zone, n);
            instance.address.ip = quotaNodes[n].ip;
            all.put (at (0), instance, revision (1));
        }

        return all.snapshot();
    }

    bool reaches (int a, int b) const
    {
        const bool sameZone = quotaNodes[a].zone == quotaNodes[b].zone;
        return ! isolatedNodes[a] && ! isolatedNodes[b] &&
               (sameZone || (! partitionedZones.contains (quotaNodes[a].zone) &&
                             ! partitionedZones.contains (quotaNodes[b].zone)));
    }

    void send (int from, const std::string& ip, const std::string& bytes)
    {
        std::uniform_real_distribution<double> share (0, 1);
        std::uniform_int_distribution<std::int64_t> delay (1, 6);
        const int to = indexOf (ip);

        if (share (random) < lossShare || ! reaches (from, to))
            return;

        inFlight.emplace (nowMs + delay (random), Datagram{ from, to, bytes });

        if (share (random) < lossShare / 2)
            inFlight.emplace (nowMs + 3 * delay (random), Datagram{ from, to, bytes });
    }

    void deliver()
    {
        while (! inFlight.empty() && inFlight.begin()->first <= nowMs)
        {
            const auto datagram = inFlight.extract (inFlight.begin()).mapped();

            // A datagram to a paused node is delivered when the pause ends.
            if (pausedUntilMs[datagram.to] > nowMs)
                inFlight.emplace (pausedUntilMs[datagram.to], datagram);
            else if (nodes[datagram.to] != nullptr)
                nodes[datagram.to]->receive (at (nowMs), quotaNodes[datagram.from].ip,
                                             datagram.bytes);
        }
    }

    void request (int n)
    {
        const auto table = routes();
        nodes[n]->acquire (at (nowMs), *table->tenants().findByName ("a"),
                           [this, n] (const TenantQuotas::Verdict& verdict)
                           {
                               if (verdict.passed && instancesAreDown)
                                   nodes[n]->giveBack (at (nowMs), "a", verdict.lapsesAt);
                               else if (verdict.passed)
                                   passedAt.push_back (nowMs);
                               else
                                   ++refused;
                           });
    }

    Quota quota;
    std::vector<std::unique_ptr<TenantQuotas>> nodes;
    std::multimap<std::int64_t, Datagram> inFlight; /**< Datagrams by time of arrival. */
    std::vector<std::int64_t> passedAt;
    double refused = 0;
};

} // namespace copperlead::mesh::test
