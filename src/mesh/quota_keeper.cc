#include "mesh/quota_keeper.h"

#include <algorithm>
#include <cmath>

namespace copperlead::mesh
{
namespace
{

// Of what may run beyond a quota: kept as room for bursts. The rest covers leases that outlive a
// change of keepers, and what nodes grant themselves that reach no keeper.
constexpr double excessKept = 0.25;
// Of the slack: two keepers that begin at once, and nodes alone, fit into it.
constexpr double startOfSlack = 0.25;
// Of what a node was granted lately: while it is alone its keeper may well grant all to others.
constexpr double aloneShare = 0.8;
constexpr std::uint32_t leastRetryMs = 20, mostRetryMs = 250;
constexpr std::uint32_t silenceRetryMs = 60; // About half of the time in which a keeper answers.

} // namespace

QuotaKeeper::QuotaKeeper (QuotaBounds boundsToKeep, std::uint64_t seed)
    : bounds (boundsToKeep)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
}

void QuotaKeeper::heard (Timestamp now, const std::string& ip)
{
    const auto* zone = view.zoneOf (ip);

    if (zone == nullptr)
        return;

    heardAt[ip] = now;
    zoneHeardAt[*zone] = now;
}

bool QuotaKeeper::heardLately (Timestamp now, const std::string& ip) const
{
    const auto found = heardAt.find (ip);
    return found != heardAt.end() && now - found->second <= hearingTime;
}

double QuotaKeeper::reachableShare (Timestamp now) const
{
    std::size_t reachable = 0;

    for (const auto& [zone, nodes] : view.byZone())
    {
        const auto found = zoneHeardAt.find (zone);

        if (zone == view.own().zone ||
            (found != zoneHeardAt.end() && now - found->second <= hearingTime))
            reachable += nodes.size();
    }

    return static_cast<double> (reachable) /
           static_cast<double> (std::max<std::size_t> (view.nodes().size(), 1));
}

double QuotaKeeper::capacityOf (const Tenant& tenant) const
{
    return tenant.quota.burst + excessKept * bounds.excess (tenant.quota);
}

std::string QuotaKeeper::livingKeeper (Timestamp now, const Tenant& tenant, Kept& kept)
{
    const auto before = view.candidatesBeforeOwn (tenant.name);

    if (before.empty())
    {
        kept.standingInSince = {};
        return {};
    }

    if (kept.standingInSince == Timestamp{} || now - kept.askedAt > idleTime)
        kept.standingInSince = now;

    for (const auto& node : before)
        if (heardLately (now, node.ip))
            return node.ip;

    return {};
}

bool QuotaKeeper::mayGrant (Timestamp now, const Kept& kept) const
{
    return kept.standingInSince == Timestamp{} || now - kept.standingInSince >= silenceTime;
}

void QuotaKeeper::fill (Timestamp now, const Tenant& tenant, Kept& kept)
{
    if (! kept.bucket || now - kept.askedAt > idleTime)
        kept.bucket.emplace (now, std::min (startOfSlack * bounds.slack, capacityOf (tenant)));

    kept.bucket->fill (now, tenant.quota.requestsPerSecond * reachableShare (now),
                       capacityOf (tenant));
    kept.askedAt = now;
}

QuotaGrant QuotaKeeper::ask (Timestamp now, const Tenant& tenant, const QuotaAsk& ask,
                             const std::string& ip)
{
    auto& kept = byTenant[tenant.name];
    QuotaGrant grant;
    grant.number = ask.number;
    ++counts.asked;
    lastAskAt = now;
    grant.keeper = livingKeeper (now, tenant, kept);

    if (! grant.keeper.empty())
    {
        ++counts.redirected;
        kept.bucket.reset();
        kept.askedAt = now;
        return grant;
    }

    fill (now, tenant, kept);
    kept.bucket->giveBack (ask.returned, capacityOf (tenant));

    if (! mayGrant (now, kept))
    {
        grant.retryAfterMs = silenceRetryMs;
        return grant;
    }

    grant.granted = kept.bucket->take (ask.wanted);
    kept.flow.observe (now, ip, grant.granted);
    grant.alonePerSecond =
        aloneShare * tenant.quota.requestsPerSecond * kept.flow.shareOf (now, ip);
    counts.granted += grant.granted;
    counts.refused += ask.wanted - grant.granted;

    if (grant.granted < ask.wanted)
    {
        const auto rate = std::max (tenant.quota.requestsPerSecond * reachableShare (now), 1e-3);
        const auto ms = 1000 * (1 - kept.bucket->level()) / rate;
        grant.retryAfterMs =
            static_cast<std::uint32_t> (std::clamp<double> (ms, leastRetryMs, mostRetryMs));
    }

    return grant;
}

std::vector<std::string> QuotaKeeper::pingsDue (Timestamp now)
{
    std::vector<std::string> due;
    std::erase_if (byTenant,
                   [&] (const auto& item) { return now - item.second.askedAt > idleTime; });
    std::erase_if (heardAt, [&] (const auto& item) { return now - item.second > hearingTime; });

    if (! active (now))
        return due;

    for (const auto& [zone, nodes] : view.byZone())
    {
        if (zone == view.own().zone)
            continue;

        std::uniform_int_distribution<std::size_t> any (0, nodes.size() - 1);
        due.push_back (nodes[any (random)].ip);
    }

    // Whether those live that go before, for the tenants that are asked about here.
    for (const auto& [tenant, kept] : byTenant)
        for (const auto& node : view.candidatesBeforeOwn (tenant))
            if (std::find (due.begin(), due.end(), node.ip) == due.end())
                due.push_back (node.ip);

    return due;
}

} // namespace copperlead::mesh
