#include "mesh/quota_keeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace copperlead::mesh
{
namespace
{

// Of a quota's burst, and of what may run beyond the quota: kept as room for bursts. The rest
// covers leases that outlive a change of keepers, and what nodes pass that reach no keeper.
constexpr double burstKept = 0.5, excessKept = 0.15;
// Of the slack: two keepers that begin at once, and nodes alone, fit into it.
constexpr double startOfSlack = 0.1;
// Of what a node was granted lately, while the tenant asks for more than its quota: its keeper
// grants all to others meanwhile, so that half of the nodes may be alone within the bound.
constexpr double aloneShareWhenShort = 0.4;
// Of what a node was granted lately, while the tenant asks for less than its quota: requests come
// unevenly. A tenant whose requests come tenfold then still keeps within the bound with a third of
// the nodes alone.
constexpr double aloneFlow = 1.25;
constexpr Milliseconds shortMemory{ 3000 }; // For which a tenant counts as asking for more.
constexpr std::uint32_t leastRetryMs = 20, mostRetryMs = 250;
constexpr std::uint32_t silenceRetryMs = 60; // About half of the time in which a keeper answers.

} // namespace

QuotaKeeper::QuotaKeeper (QuotaBounds boundsToKeep, std::uint64_t seed)
    : bounds (boundsToKeep)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
}

void QuotaKeeper::setView (QuotaView newView)
{
    view = std::move (newView);
    digests.clear();
}

void QuotaKeeper::heard (Timestamp now, const std::string& ip)
{
    if (view.zoneOf (ip) != nullptr)
        heardAt[ip] = now;
}

CandidatesDigest QuotaKeeper::digestFor (const std::string& tenant)
{
    if (digests.size() >= mostKnownDigests)
        digests.clear();

    const auto [found, isNew] = digests.try_emplace (tenant, 0);

    if (isNew)
        found->second = digestOf (view.candidates (tenant));

    return { tenant, found->second };
}

std::vector<CandidatesDigest> QuotaKeeper::keptDigests()
{
    std::vector<CandidatesDigest> all;

    for (const auto& [tenant, kept] : byTenant)
        all.push_back (digestFor (tenant));

    return all;
}

void QuotaKeeper::heardDigest (Timestamp now, const std::string& ip, const CandidatesDigest& told)
{
    const auto* zone = view.zoneOf (ip);
    const auto found = byTenant.find (told.tenant);

    // That this node hears itself says nothing of its zone.
    if (zone == nullptr || found == byTenant.end() || ip == view.own().ip)
        return;

    const bool agrees = told.digest == digestFor (told.tenant).digest;
    found->second.words[*zone] = { now, agrees };
}

bool QuotaKeeper::heardLately (Timestamp now, const std::string& ip) const
{
    const auto found = heardAt.find (ip);
    return found != heardAt.end() && now - found->second <= hearingTime;
}

double QuotaKeeper::reachableShare (Timestamp now, const std::string& tenant) const
{
    const auto found = byTenant.find (tenant);
    return reachableShare (now, found == byTenant.end() ? Kept{} : found->second);
}

double QuotaKeeper::reachableShare (Timestamp now, const Kept& kept) const
{
    std::size_t reachable = 0;

    for (const auto& [zone, nodes] : view.byZone())
    {
        const auto found = kept.words.find (zone);

        if (found != kept.words.end() && found->second.agrees &&
            now - found->second.at <= hearingTime)
            reachable += nodes.size();
        else if (zone == view.own().zone)
            reachable += 1; // This node itself.
    }

    return static_cast<double> (reachable) /
           static_cast<double> (std::max<std::size_t> (view.nodes().size(), 1));
}

double QuotaKeeper::capacityOf (const Tenant& tenant) const
{
    return burstKept * tenant.quota.burst + excessKept * bounds.excess (tenant.quota);
}

double QuotaKeeper::rateOf (Timestamp now, const Tenant& tenant, const Kept& kept) const
{
    return bounds.perSecond (tenant.quota) * reachableShare (now, kept);
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
    {
        kept.bucket.emplace (now, std::min (startOfSlack * bounds.slack, capacityOf (tenant)));
        ++kept.report.begun;
        begun = true;
    }

    kept.bucket->fill (now, rateOf (now, tenant, kept), capacityOf (tenant));
    kept.askedAt = now;
}

void QuotaKeeper::takeBack (Timestamp now, const Tenant& tenant, Kept& kept,
                            std::uint32_t returned) const
{
    while (! kept.unlapsed.empty() && now - kept.unlapsed.front().first >= quotaLeaseTime)
    {
        kept.unlapsedSum -= kept.unlapsed.front().second;
        kept.unlapsed.pop_front();
    }

    // Nodes hold no more than was granted steadily in a lease's time, and a burst. Otherwise what
    // lapses unused while no instance can be reached would be granted again and again beside what
    // is new, without end.
    const auto steady =
        bounds.perSecond (tenant.quota) * std::chrono::duration<double> (quotaLeaseTime).count();
    const auto capacity = capacityOf (tenant);
    const auto room = std::clamp (steady + capacity - kept.unlapsedSum, 0.0, capacity);
    kept.bucket->giveBack (returned, room);
    kept.report.returned += returned;
}

double QuotaKeeper::alonePartOf (Timestamp now, const Tenant& tenant, const Kept& kept,
                                 const std::string& ip) const
{
    if (now - kept.shortAt <= shortMemory)
        return aloneShareWhenShort * tenant.quota.requestsPerSecond * kept.flow.shareOf (now, ip);

    return std::min (aloneFlow * kept.flow.perSecond (now, ip), tenant.quota.requestsPerSecond);
}

QuotaGrant QuotaKeeper::ask (Timestamp now, const Tenant& tenant, const QuotaAsk& ask,
                             const std::string& ip)
{
    auto& kept = byTenant[tenant.name];
    QuotaGrant grant;
    grant.number = ask.number;
    ++counts.asked;
    lastAskAt = now;
    heardDigest (now, ip, { tenant.name, ask.candidates });
    grant.keeper = livingKeeper (now, tenant, kept);

    if (! grant.keeper.empty())
    {
        ++counts.redirected;
        ++kept.report.redirected;
        kept.bucket.reset();
        kept.askedAt = now;
        return grant;
    }

    fill (now, tenant, kept);
    takeBack (now, tenant, kept, ask.returned);

    if (! mayGrant (now, kept))
    {
        grant.retryAfterMs = silenceRetryMs;
        return grant;
    }

    grant.granted = kept.bucket->take (ask.wanted);
    kept.flow.observe (now, ip, grant.granted);

    if (grant.granted > 0)
    {
        kept.unlapsed.emplace_back (now, grant.granted);
        kept.unlapsedSum += grant.granted;
    }

    if (grant.granted < ask.wanted)
        kept.shortAt = now;

    grant.alonePerSecond = alonePartOf (now, tenant, kept, ip);
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
            static_cast<std::uint32_t> (std::clamp<double> (ms, leastRetryMs, mostRetryMs));
    }

    return grant;
}

std::vector<std::pair<std::string, QuotaKeeping>> QuotaKeeper::takeReports()
{
    std::vector<std::pair<std::string, QuotaKeeping>> reports;

    for (auto& [tenant, kept] : byTenant)
        if (kept.report.any())
            reports.emplace_back (tenant, std::exchange (kept.report, {}));

    return reports;
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
        std::uniform_int_distribution<std::size_t> any (0, nodes.size() - 1);
        const auto& drawn = nodes[any (random)];
        // Of the own zone it may be this node: another is drawn next time.
        if (drawn.ip != view.own().ip)
            due.push_back (drawn.ip);
    }

    // Whether those live that go before, for the tenants that are asked about here.
    for (const auto& [tenant, kept] : byTenant)
        for (const auto& node : view.candidatesBeforeOwn (tenant))
            if (std::find (due.begin(), due.end(), node.ip) == due.end())
                due.push_back (node.ip);

    return due;
}

} // namespace copperlead::mesh
