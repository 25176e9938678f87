#include "mesh/quota_keeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace copperlead::mesh
{
namespace
{

// The parts of the quota's burst and of the permitted excess that make up the capacity of the token
// bucket. The rest covers leases that outlast a change of keepers and requests that nodes pass
// without a keeper.
constexpr double burstPart = 0.5, excessPart = 0.15;
// Part of the slack that a new token bucket holds. The slack suffices for two keepers that start at
// the same time and for nodes that reach no keeper.
constexpr double initialSlackPart = 0.1;
// Part of a node's share of the quota that it may pass on without a keeper while the tenant asks
// for more than its quota. The keeper grants the whole quota to other nodes in that time; with this
// factor, half of the nodes may be without a keeper within the bound.
constexpr double fallbackFactorOverQuota = 0.4;
// Ratio of the rate that a node may pass on without a keeper to the rate that it was granted
// lately, while the tenant asks for less than its quota. It is above 1 because requests arrive
// unevenly. If the tenant's requests then increase tenfold, the bound still holds with a third of
// the nodes without a keeper.
constexpr double fallbackFactorWithinQuota = 1.25;
// How long a tenant counts as asking for more than its quota after a shortage.
constexpr Milliseconds shortageMemory{ 3000 };
constexpr std::uint32_t minRetryMs = 20, maxRetryMs = 250;
// Retry delay while a stand-in waits for answers from the candidates above it: about half of
// standInDelay.
constexpr std::uint32_t standInRetryMs = 60;

} // namespace

QuotaKeeper::QuotaKeeper (QuotaBounds boundsToEnforce, std::uint64_t seed)
    : bounds (boundsToEnforce)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
}

void QuotaKeeper::setView (QuotaView newView)
{
    view = std::move (newView);
    digests.clear();

    for (auto& [tenant, kept] : byTenant)
    {
        const bool wasFirst = std::exchange (kept.ranksFirst, ranksFirst (tenant));

        // Another node has granted, or grants from now on, so the tokens that accrue meanwhile
        // don't count.
        if (kept.ranksFirst != wasFirst)
            kept.bucket.reset();
    }
}

bool QuotaKeeper::ranksFirst (const std::string& tenant) const
{
    const auto candidates = view.candidates (tenant);
    return ! candidates.empty() && candidates.front().ip == view.own().ip;
}

QuotaKeeper::KeptQuota& QuotaKeeper::keptQuotaOf (const std::string& tenant)
{
    const auto [found, isNew] = byTenant.try_emplace (tenant);

    if (isNew)
        found->second.ranksFirst = ranksFirst (tenant);

    return found->second;
}

void QuotaKeeper::recordContact (Timestamp now, const std::string& ip)
{
    if (view.zoneOf (ip) != nullptr)
        heardAt[ip] = now;
}

CandidatesDigest QuotaKeeper::digestFor (const std::string& tenant)
{
    if (digests.size() >= maxCachedDigests)
        digests.clear();

    const auto [found, isNew] = digests.try_emplace (tenant, 0);

    if (isNew)
        found->second = digestOf (view.candidates (tenant));

    return { tenant, found->second };
}

std::vector<CandidatesDigest> QuotaKeeper::digestsOfKeptTenants()
{
    std::vector<CandidatesDigest> all;

    for (const auto& [tenant, kept] : byTenant)
        all.push_back (digestFor (tenant));

    return all;
}

void QuotaKeeper::recordDigest (Timestamp now, const std::string& ip,
                                const CandidatesDigest& received)
{
    const auto* zone = view.zoneOf (ip);
    const auto found = byTenant.find (received.tenant);

    // A datagram from this node itself doesn't show that its zone can be reached.
    if (zone == nullptr || found == byTenant.end() || ip == view.own().ip)
        return;

    const bool agrees = received.digest == digestFor (received.tenant).digest;
    found->second.agreements[*zone] = { now, agrees };
}

bool QuotaKeeper::heardLately (Timestamp now, const std::string& ip) const
{
    const auto found = heardAt.find (ip);
    return found != heardAt.end() && now - found->second <= reachabilityTimeout;
}

double QuotaKeeper::reachableShare (Timestamp now, const std::string& tenant) const
{
    const auto found = byTenant.find (tenant);
    return reachableShare (now, found == byTenant.end() ? KeptQuota{} : found->second);
}

double QuotaKeeper::reachableShare (Timestamp now, const KeptQuota& kept) const
{
    std::size_t reachable = 0;

    for (const auto& [zone, nodes] : view.byZone())
    {
        const auto found = kept.agreements.find (zone);

        if (found != kept.agreements.end() && found->second.agrees &&
            now - found->second.at <= reachabilityTimeout)
            reachable += nodes.size();
        else if (zone == view.own().zone)
            reachable += 1; // This node itself.
    }

    return static_cast<double> (reachable) /
           static_cast<double> (std::max<std::size_t> (view.nodes().size(), 1));
}

double QuotaKeeper::capacityOf (const Tenant& tenant) const
{
    return burstPart * tenant.quota.burst + excessPart * bounds.permittedExcess (tenant.quota);
}

double QuotaKeeper::rateOf (Timestamp now, const Tenant& tenant, const KeptQuota& kept) const
{
    return bounds.sustainedRate (tenant.quota) * reachableShare (now, kept);
}

std::string QuotaKeeper::liveKeeperAbove (Timestamp now, const Tenant& tenant, KeptQuota& kept)
{
    const auto above = view.candidatesAboveOwn (tenant.name);

    if (above.empty())
    {
        kept.standingInSince = {};
        return {};
    }

    if (kept.standingInSince == Timestamp{} || now - kept.askedAt > idleTimeout)
        kept.standingInSince = now;

    for (const auto& node : above)
        if (heardLately (now, node.ip))
            return node.ip;

    return {};
}

bool QuotaKeeper::mayGrant (Timestamp now, const KeptQuota& kept) const
{
    return kept.standingInSince == Timestamp{} || now - kept.standingInSince >= standInDelay;
}

void QuotaKeeper::refill (Timestamp now, const Tenant& tenant, KeptQuota& kept)
{
    if (! kept.bucket || now - kept.askedAt > idleTimeout)
    {
        kept.bucket.emplace (now, std::min (initialSlackPart * bounds.slack, capacityOf (tenant)));
        kept.begunAt = now;
        ++kept.report.begun;
        begun = true;
    }

    kept.bucket->refill (now, rateOf (now, tenant, kept), capacityOf (tenant));
    kept.askedAt = now;
}

void QuotaKeeper::takeBack (Timestamp now, const Tenant& tenant, KeptQuota& kept,
                            std::uint32_t returned) const
{
    while (! kept.unexpired.empty() && now - kept.unexpired.front().first >= quotaLeaseDuration)
    {
        kept.unexpiredSum -= kept.unexpired.front().second;
        kept.unexpired.pop_front();
    }

    // Returned tokens are accepted only while the unexpired grants and the bucket together hold no
    // more than the steady rate over the lease duration plus a burst. Otherwise tokens that expire
    // unused while no instance can be reached would be granted again and again in addition to new
    // ones, without limit.
    const auto steadyTokens = bounds.sustainedRate (tenant.quota) *
                              std::chrono::duration<double> (quotaLeaseDuration).count();
    const auto capacity = capacityOf (tenant);
    const auto room = std::clamp (steadyTokens + capacity - kept.unexpiredSum, 0.0, capacity);

    // Until the grants of a keeper before this one have expired, nodes may hold as much of those.
    if (now - kept.begunAt >= quotaLeaseDuration)
        kept.bucket->giveBack (returned, room);

    kept.report.returned += returned;
}

double QuotaKeeper::fallbackRateOf (Timestamp now, const Tenant& tenant, const KeptQuota& kept,
                                    const std::string& ip) const
{
    if (now - kept.shortageAt <= shortageMemory)
        return fallbackFactorOverQuota * tenant.quota.requestsPerSecond *
               kept.flow.shareOf (now, ip);

    return std::min (fallbackFactorWithinQuota * kept.flow.perSecond (now, ip),
                     tenant.quota.requestsPerSecond);
}

QuotaGrant QuotaKeeper::handleRequest (Timestamp now, const Tenant& tenant, const QuotaRequest& ask,
                                       const std::string& ip)
{
    auto& kept = keptQuotaOf (tenant.name);
    QuotaGrant grant;
    grant.number = ask.number;
    ++counts.asked;
    lastAskAt = now;
    recordDigest (now, ip, { tenant.name, ask.candidates });
    grant.keeper = liveKeeperAbove (now, tenant, kept);

    if (! grant.keeper.empty())
    {
        ++counts.redirected;
        ++kept.report.redirected;
        kept.bucket.reset();
        kept.askedAt = now;
        return grant;
    }

    refill (now, tenant, kept);
    takeBack (now, tenant, kept, ask.returned);

    if (! mayGrant (now, kept))
    {
        grant.retryAfterMs = standInRetryMs;
        return grant;
    }

    grant.granted = kept.bucket->take (ask.wanted);
    kept.flow.observe (now, ip, grant.granted);

    if (grant.granted > 0)
    {
        kept.unexpired.emplace_back (now, grant.granted);
        kept.unexpiredSum += grant.granted;
    }

    if (grant.granted < ask.wanted)
        kept.shortageAt = now;

    grant.fallbackPerSecond = fallbackRateOf (now, tenant, kept, ip);
    counts.granted += grant.granted;
    counts.refused += ask.wanted - grant.granted;
    kept.report.granted += grant.granted;
    kept.report.refused += ask.wanted - grant.granted;
    kept.report.reachableShare = reachableShare (now, kept);
    kept.report.level = kept.bucket->level();

    if (grant.granted < ask.wanted)
    {
        const auto rate = std::max (rateOf (now, tenant, kept), 1e-3);
        const auto ms = 1000 * (1 - kept.bucket->level()) / rate;
        grant.retryAfterMs =
            static_cast<std::uint32_t> (std::clamp<double> (ms, minRetryMs, maxRetryMs));
    }

    return grant;
}

std::vector<std::pair<std::string, QuotaKeeperActivity>> QuotaKeeper::takeReports()
{
    std::vector<std::pair<std::string, QuotaKeeperActivity>> reports;

    for (auto& [tenant, kept] : byTenant)
        if (kept.report.any())
            reports.emplace_back (tenant, std::exchange (kept.report, {}));

    return reports;
}

std::vector<std::string> QuotaKeeper::nodesToPing (Timestamp now)
{
    std::vector<std::string> due;
    std::erase_if (byTenant,
                   [&] (const auto& item) { return now - item.second.askedAt > idleTimeout; });
    std::erase_if (heardAt,
                   [&] (const auto& item) { return now - item.second > reachabilityTimeout; });

    if (! active (now))
        return due;

    for (const auto& [zone, nodes] : view.byZone())
    {
        std::uniform_int_distribution<std::size_t> any (0, nodes.size() - 1);
        const auto& drawn = nodes[any (random)];
        // In its own zone, a node may draw itself; it then sends no ping there until the next call.
        if (drawn.ip != view.own().ip)
            due.push_back (drawn.ip);
    }

    // Pings the higher-ranked candidates of the kept tenants to learn whether they are alive.
    for (const auto& [tenant, kept] : byTenant)
        for (const auto& node : view.candidatesAboveOwn (tenant))
            if (std::find (due.begin(), due.end(), node.ip) == due.end())
                due.push_back (node.ip);

    return due;
}

} // namespace copperlead::mesh
