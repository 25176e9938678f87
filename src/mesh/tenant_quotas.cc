#include "mesh/tenant_quotas.h"

#include <algorithm>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr Milliseconds reportInterval{ 1000 };

/** Encodes the digests as pings with at most `maxDigests` each. Without digests, there is a single
    empty ping.
*/
std::vector<std::string> pingDatagrams (const std::vector<CandidatesDigest>& digests)
{
    std::vector<std::string> datagrams;
    std::size_t begin = 0;

    do
    {
        const auto end = std::min (begin + QuotaPing::maxDigests, digests.size());
        QuotaPing ping;
        ping.digests.assign (digests.begin() + static_cast<std::ptrdiff_t> (begin),
                             digests.begin() + static_cast<std::ptrdiff_t> (end));
        datagrams.push_back (encode (ping));
        begin = end;
    } while (begin < digests.size());

    return datagrams;
}

} // namespace

TenantQuotas::TenantQuotas (const QuotaBounds& bounds, QuotaNode ownNode, std::uint64_t seed,
                            TenantQuotaHooks hooksToUse)
    : own (std::move (ownNode))
    , hooks (std::move (hooksToUse))
    , keeper (bounds, seed)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
}

void TenantQuotas::setRoutes (std::shared_ptr<const RouteTable> newRoutes)
{
    routes = std::move (newRoutes);
    std::erase_if (byTenant, [this] (const auto& item)
                   { return item.second.waiting.empty() && tenantNamed (item.first) == nullptr; });
}

void TenantQuotas::setDirectory (const DirectorySnapshot& directory)
{
    auto nodes = quotaNodesOf (directory);

    if (nodes == view.nodes())
        return;

    view = QuotaView (std::move (nodes), own);
    keeper.setView (view);

    for (auto& [name, state] : byTenant)
        state.hasCandidates = false;
}

const Tenant* TenantQuotas::tenantNamed (const std::string& name) const
{
    return routes == nullptr ? nullptr : routes->tenants().findByName (name);
}

TenantQuotas::TenantState& TenantQuotas::stateFor (const std::string& tenant)
{
    auto& state = byTenant[tenant];

    if (! std::exchange (state.hasCandidates, true))
        state.candidates = view.candidates (tenant);

    return state;
}

void TenantQuotas::acquire (Timestamp now, const Tenant& tenant, Callback callback)
{
    if (! tenant.quota.isLimited())
        return callback ({});

    const auto name = tenant.name; // The callback may release the configuration.
    auto& state = stateFor (name);
    const auto step = state.lease.take (now);

    if (step == QuotaDecision::wait)
        state.waiting.push_back ({ std::move (callback), now });
    else
        pass (now, { std::move (callback), {} }, state, step == QuotaDecision::pass, false);

    askIfNeeded (now, name);
}

void TenantQuotas::pass (Timestamp now, const PendingRequest& waiting, TenantState& state,
                         bool passed, bool alone)
{
    if (waiting.since != Timestamp{})
        counts.waited.observe (toMilliseconds (now - waiting.since));

    if (alone)
    {
        ++(passed ? counts.passedAlone : counts.refusedAlone);
        ++(passed ? state.use.passedAlone : state.use.refusedAlone);
    }
    else
    {
        ++(passed ? counts.passed : counts.refused);
        ++(passed ? state.use.passed : state.use.refused);
    }

    scheduleReport (now);

    ++(passed ? state.passed : state.refused);

    const auto lapsesAt = passed && ! alone ? state.lease.latestPassExpiry() : Timestamp{};
    waiting.callback ({ passed, alone ? std::string() : state.lastKeeper, lapsesAt });
}

std::vector<TenantRequestCounts> TenantQuotas::busiestTenants (std::size_t most) const
{
    std::vector<TenantRequestCounts> all;

    for (const auto& [name, state] : byTenant)
        all.push_back ({ name, state.passed, state.refused });

    std::sort (all.begin(), all.end(),
               [] (const TenantRequestCounts& a, const TenantRequestCounts& b)
               { return a.passed + a.refused > b.passed + b.refused; });

    if (all.size() <= most)
        return all;

    TenantRequestCounts others;

    for (auto it = all.begin() + static_cast<std::ptrdiff_t> (most); it != all.end(); ++it)
    {
        others.passed += it->passed;
        others.refused += it->refused;
    }

    all.resize (most);
    all.push_back (others);
    return all;
}

void TenantQuotas::giveBack (Timestamp now, const std::string& tenant, Timestamp lapsesAt)
{
    if (const auto found = byTenant.find (tenant); found != byTenant.end())
    {
        ++counts.returned;
        ++found->second.use.returned;
        found->second.lease.giveBack (now, lapsesAt);
        scheduleReport (now);
    }
}

QuotaGrant TenantQuotas::answerAsk (Timestamp now, const QuotaRequest& ask, const std::string& ip)
{
    const auto* known = tenantNamed (ask.tenant);
    Tenant tenant;
    tenant.name = ask.tenant;
    // This node's configuration version may lack the tenant or its limit, so the quota that the
    // asking node sent is used instead.
    tenant.quota = known != nullptr && known->quota.isLimited() ? known->quota : ask.quota;
    auto grant = keeper.handleRequest (now, tenant, ask, ip);
    scheduleReport (now);

    // A node that has just become a keeper must find out immediately which nodes it can reach.
    if (pingAt == Timestamp::max() || keeper.takeStartedFlag())
        ping (now);

    return grant;
}

void TenantQuotas::ping (Timestamp now)
{
    const auto receivers = keeper.nodesToPing (now);

    for (const auto& bytes : pingDatagrams (keeper.digestsOfKeptTenants()))
        for (const auto& ip : receivers)
            hooks.send (ip, bytes);

    pingAt = keeper.active (now) ? now + QuotaKeeper::pingInterval : Timestamp::max();
}

Timestamp TenantQuotas::nextDue() const
{
    const auto due = std::min (pingAt, reportAt);
    return answerTimeouts.empty() ? due : std::min (due, answerTimeouts.begin()->first);
}

void TenantQuotas::advance (Timestamp now)
{
    while (! answerTimeouts.empty() && answerTimeouts.begin()->first <= now)
    {
        const auto due = answerTimeouts.extract (answerTimeouts.begin()).value();
        onAnswerTimeout (now, due.second);
    }

    if (pingAt <= now)
        ping (now);

    if (reportAt <= now)
        report();
}

void TenantQuotas::scheduleReport (Timestamp now)
{
    if (reportAt == Timestamp::max())
        reportAt = now + reportInterval;
}

void TenantQuotas::report()
{
    reportAt = Timestamp::max();

    for (auto& [tenant, state] : byTenant)
    {
        if (! state.use.any())
            continue;

        state.use.keeper = state.lastKeeper;
        hooks.onUsageReport (tenant, std::exchange (state.use, {}));
    }

    for (const auto& [tenant, keeping] : keeper.takeReports())
        hooks.onKeeperReport (tenant, keeping);
}

QuotaPing TenantQuotas::makePingReply (const QuotaPing& ping)
{
    QuotaPing reply{ true, {} };

    for (const auto& queried : ping.digests)
        reply.digests.push_back (keeper.digestFor (queried.tenant));

    return reply;
}

bool TenantQuotas::receive (Timestamp now, const std::string& ip, std::string_view datagram)
{
    if (const auto ask = decodeQuotaRequest (datagram))
    {
        // A node without a configuration doesn't know the quotas and must not be taken for a live
        // keeper. It doesn't answer, so that another node takes over.
        if (! isConfigured())
            return true;

        keeper.recordContact (now, ip);
        hooks.send (ip, encode (answerAsk (now, *ask, ip)));
        return true;
    }

    if (const auto grant = decodeQuotaGrant (datagram))
    {
        receiveGrant (now, ip, *grant);
        return true;
    }

    if (const auto ping = decodeQuotaPing (datagram))
    {
        keeper.recordContact (now, ip);

        if (ping->isReply)
            for (const auto& digest : ping->digests)
                keeper.recordDigest (now, ip, digest);
        else if (isConfigured())
            hooks.send (ip, encode (makePingReply (*ping)));

        return true;
    }

    return false;
}

} // namespace copperlead::mesh
