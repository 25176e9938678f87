#include "mesh/tenant_quotas.h"

#include <algorithm>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr Milliseconds lateAnswerTime{ 1000 }; // In which an answer is still of use.
constexpr int mostSent = 2; // Of one ask to one node: a datagram is lost now and then.

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
    return routes == nullptr ? nullptr : routes->tenants().named (name);
}

TenantQuotas::TenantState& TenantQuotas::stateOf (const std::string& tenant)
{
    auto& state = byTenant[tenant];

    if (! std::exchange (state.hasCandidates, true))
        state.candidates = view.candidates (tenant);

    return state;
}

void TenantQuotas::take (Timestamp now, const Tenant& tenant, Callback callback)
{
    if (! tenant.quota.limits())
        return callback ({});

    const auto name = tenant.name; // The callback may let the configuration go.
    auto& state = stateOf (name);
    const auto step = state.lease.take (now);

    if (step == QuotaStep::wait)
        state.waiting.push_back ({ std::move (callback), now });
    else
        pass (now, { std::move (callback), {} }, state, step == QuotaStep::pass, false);

    askIfNeeded (now, name);
}

void TenantQuotas::pass (Timestamp now, const Waiting& waiting, TenantState& state, bool passed,
                         bool alone)
{
    if (waiting.since != Timestamp{})
        counts.waited.observe (toMilliseconds (now - waiting.since));

    if (alone)
        ++(passed ? counts.passedAlone : counts.refusedAlone);
    else
        ++(passed ? counts.passed : counts.refused);

    ++(passed ? state.passed : state.refused);
    waiting.callback ({ passed, alone ? std::string() : state.lastKeeper });
}

std::vector<TenantUse> TenantQuotas::uses (std::size_t most) const
{
    std::vector<TenantUse> all;

    for (const auto& [name, state] : byTenant)
        all.push_back ({ name, state.passed, state.refused });

    std::sort (all.begin(), all.end(),
               [] (const TenantUse& a, const TenantUse& b)
               { return a.passed + a.refused > b.passed + b.refused; });

    if (all.size() <= most)
        return all;

    TenantUse others;

    for (auto it = all.begin() + static_cast<std::ptrdiff_t> (most); it != all.end(); ++it)
    {
        others.passed += it->passed;
        others.refused += it->refused;
    }

    all.resize (most);
    all.push_back (others);
    return all;
}

void TenantQuotas::giveBack (Timestamp now, const std::string& tenant)
{
    if (const auto found = byTenant.find (tenant); found != byTenant.end())
    {
        ++counts.returned;
        found->second.lease.giveBack (now);
    }
}

void TenantQuotas::askIfNeeded (Timestamp now, const std::string& tenant)
{
    auto& state = stateOf (tenant);

    if (state.asking.number != 0)
        return;

    const auto wanted = state.lease.wanted (now, state.waiting.size());
    const auto* known = tenantNamed (tenant);

    if (wanted == 0)
        return;

    // A version that came meanwhile took the limit away.
    if (known == nullptr || ! known->quota.limits())
        return passAll (now, state);

    state.asking = {};
    state.asking.wanted = wanted;
    state.asking.quota = known->quota;
    state.asking.returned = state.lease.takeLapsed (now);
    askNext (now, tenant, state);
}

void TenantQuotas::askNext (Timestamp now, const std::string& tenant, TenantState& state)
{
    const auto* node = choice.next (now, state.candidates, state.asking.tried);

    if (node == nullptr)
        return goAlone (now, tenant, state);

    askAt (now, tenant, state, node->ip);
}

void TenantQuotas::askAt (Timestamp now, const std::string& tenant, TenantState& state,
                          const std::string& ip)
{
    auto& asking = state.asking;
    asking.ip = ip;
    asking.sent = 0;
    asking.tried.push_back (ip);
    asking.number = ++lastNumber;

    if (ip == own.ip)
        return onGrant (
            now, tenant,
            keep (now, { asking.number, tenant, asking.wanted, asking.returned, asking.quota },
                  ip));

    forgetOldAsks (now);
    sentAsks[asking.number] = { tenant, ip, {}, 0 };

    sendAsk (now, tenant, state);
}

void TenantQuotas::sendAsk (Timestamp now, const std::string& tenant, TenantState& state)
{
    auto& asking = state.asking;
    ++asking.sent;
    ++counts.asks;
    auto& sent = sentAsks[asking.number];
    sent.sentAt = now;
    sent.sent = asking.sent;
    // Given back once, or a doubled datagram would give it back twice.
    const auto returned = std::exchange (asking.returned, 0);
    hooks.send (asking.ip,
                encode (QuotaAsk{ asking.number, tenant, asking.wanted, returned, asking.quota }));
    asking.dueAt = now + answerTime.current();
    answersDue.emplace (asking.dueAt, tenant);
}

void TenantQuotas::giveUpAnswer (Timestamp now, const std::string& tenant)
{
    const auto found = byTenant.find (tenant);

    if (found == byTenant.end())
        return;

    auto& state = found->second;

    // It was answered, or asked again, meanwhile.
    if (state.asking.number == 0 || state.asking.dueAt > now)
        return;

    ++counts.unanswered;
    answerTime.timedOut();

    if (state.asking.sent < mostSent)
        return sendAsk (now, tenant, state);

    choice.silent (now, state.asking.ip);
    askNext (now, tenant, state);
}

void TenantQuotas::forgetOldAsks (Timestamp now)
{
    while (! sentAsks.empty() && now - sentAsks.begin()->second.sentAt > lateAnswerTime)
        sentAsks.erase (sentAsks.begin());
}

void TenantQuotas::takeGrant (Timestamp now, const std::string& ip, const QuotaGrant& grant)
{
    const auto found = sentAsks.find (grant.number);

    if (found == sentAsks.end() || found->second.ip != ip)
        return;

    const auto sent = sentAsks.extract (found).mapped();
    choice.answered (ip);

    // Of one that was sent twice it isn't known which was answered.
    if (sent.sent == 1)
        answerTime.answered (now - sent.sentAt);

    auto& state = stateOf (sent.tenant);

    if (state.asking.number == grant.number)
        return onGrant (now, sent.tenant, grant);

    if (grant.granted == 0)
        return;

    state.lease.granted (now, grant.granted, grant.alonePerSecond);
    passGranted (now, state, false);
}

void TenantQuotas::onGrant (Timestamp now, const std::string& tenant, const QuotaGrant& grant)
{
    auto& state = stateOf (tenant);
    const auto& tried = state.asking.tried;
    const bool isNew = std::find (tried.begin(), tried.end(), grant.keeper) == tried.end();

    if (! grant.keeper.empty() && isNew && ! std::exchange (state.asking.redirected, true))
        return askAt (now, tenant, state, grant.keeper);

    if (! grant.keeper.empty())
        return goAlone (now, tenant, state);

    state.asking.number = 0;
    state.lastKeeper = state.asking.ip;

    if (grant.granted > 0)
        state.lease.granted (now, grant.granted, grant.alonePerSecond);

    if (grant.retryAfterMs > 0)
        state.lease.refused (now, Milliseconds (grant.retryAfterMs));

    passGranted (now, state, grant.retryAfterMs > 0);

    if (! state.waiting.empty())
        askIfNeeded (now, tenant);
}

void TenantQuotas::passGranted (Timestamp now, TenantState& state, bool refuseOthers)
{
    auto waiting = std::exchange (state.waiting, {});

    for (auto& each : waiting)
    {
        const bool passed = state.lease.takeGranted (now) == QuotaStep::pass;

        // Those that came after the ask was sent are asked for next.
        if (! passed && ! refuseOthers)
            state.waiting.push_back (std::move (each));
        else
            pass (now, each, state, passed, false);
    }
}

void TenantQuotas::passAll (Timestamp now, TenantState& state)
{
    for (const auto& each : std::exchange (state.waiting, {}))
        pass (now, each, state, true, false);
}

void TenantQuotas::goAlone (Timestamp now, const std::string& tenant, TenantState& state)
{
    state.asking.number = 0;
    const auto* known = tenantNamed (tenant);
    auto waiting = std::exchange (state.waiting, {});
    hooks.alone ({ tenant, waiting.size(), state.asking.tried.size(), view.nodes().size(),
                   state.lease.perSecond (now) });

    std::uniform_real_distribution<double> chance (0, 1);

    for (auto& each : waiting)
    {
        const bool passed =
            known == nullptr || state.lease.takeAlone (now, known->quota, view.nodes().size(),
                                                       chance (random)) == QuotaStep::pass;
        pass (now, each, state, passed, true);
    }
}

QuotaGrant TenantQuotas::keep (Timestamp now, const QuotaAsk& ask, const std::string& ip)
{
    const auto* known = tenantNamed (ask.tenant);
    Tenant tenant;
    tenant.name = ask.tenant;
    // Another version may run here, which lacks the tenant or its limit; who asks knows it then.
    tenant.quota = known != nullptr && known->quota.limits() ? known->quota : ask.quota;
    auto grant = keeper.ask (now, tenant, ask, ip);

    // One that has just become a keeper has to know at once whom it reaches.
    if (pingAt == Timestamp::max())
        ping (now);

    return grant;
}

void TenantQuotas::ping (Timestamp now)
{
    for (const auto& ip : keeper.pingsDue (now))
        hooks.send (ip, encode (QuotaPing{ false }));

    pingAt = keeper.active (now) ? now + QuotaKeeper::pingInterval : Timestamp::max();
}

Timestamp TenantQuotas::nextDue() const
{
    return answersDue.empty() ? pingAt : std::min (pingAt, answersDue.begin()->first);
}

void TenantQuotas::advance (Timestamp now)
{
    while (! answersDue.empty() && answersDue.begin()->first <= now)
    {
        const auto due = answersDue.extract (answersDue.begin()).value();
        giveUpAnswer (now, due.second);
    }

    if (pingAt <= now)
        ping (now);
}

bool TenantQuotas::receive (Timestamp now, const std::string& ip, std::string_view datagram)
{
    if (const auto ask = decodeQuotaAsk (datagram))
    {
        // A node that has just started doesn't know whose keeper it is, and mustn't be taken for a
        // keeper that lives: it says nothing, so that another stands in.
        if (routes == nullptr)
            return true;

        keeper.heard (now, ip);
        hooks.send (ip, encode (keep (now, *ask, ip)));
        return true;
    }

    if (const auto grant = decodeQuotaGrant (datagram))
    {
        takeGrant (now, ip, *grant);
        return true;
    }

    if (const auto ping = decodeQuotaPing (datagram))
    {
        keeper.heard (now, ip);

        if (! ping->isReply && routes != nullptr)
            hooks.send (ip, encode (QuotaPing{ true }));

        return true;
    }

    return false;
}

} // namespace copperlead::mesh
