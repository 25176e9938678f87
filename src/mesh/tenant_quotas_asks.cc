/** The part of TenantQuotas that asks keepers for grants, handles their answers, and decides
    locally when no keeper answers.
*/
#include <algorithm>
#include <utility>

#include "mesh/milliseconds.h"
#include "mesh/tenant_quotas.h"

namespace copperlead::mesh
{

namespace
{

constexpr Milliseconds sentAskLifetime{ 1000 }; // Late answers are accepted within this time.
constexpr int maxSends = 2; // An ask is sent twice to a node, since a datagram may be lost.

} // namespace

void TenantQuotas::askIfNeeded (Timestamp now, const std::string& tenant)
{
    auto& state = stateFor (tenant);

    if (state.currentAsk.number != 0)
        return;

    const auto wanted = state.lease.tokensToRequest (now, state.waiting.size());
    const auto* known = tenantNamed (tenant);

    if (wanted == 0)
        return;

    // A newer configuration version has removed the limit.
    if (known == nullptr || ! known->quota.isLimited())
        return admitAll (now, state);

    state.currentAsk = {};
    state.currentAsk.wanted = wanted;
    state.currentAsk.quota = known->quota;
    state.currentAsk.returned = state.lease.takeExpired (now);
    askNextKeeper (now, tenant, state);
}

void TenantQuotas::askNextKeeper (Timestamp now, const std::string& tenant, TenantState& state)
{
    const auto* node = choice.next (now, state.candidates, state.currentAsk.tried);

    if (node == nullptr)
        return decideLocally (now, tenant, state);

    askKeeper (now, tenant, state, node->ip);
}

QuotaRequest TenantQuotas::makeAsk (const std::string& tenant, const TenantState& state)
{
    const auto& currentAsk = state.currentAsk;
    return { currentAsk.number,   tenant,           currentAsk.wanted,
             currentAsk.returned, currentAsk.quota, digestOf (state.candidates) };
}

void TenantQuotas::askKeeper (Timestamp now, const std::string& tenant, TenantState& state,
                              const std::string& ip)
{
    auto& currentAsk = state.currentAsk;
    currentAsk.ip = ip;
    currentAsk.sent = 0;
    currentAsk.tried.push_back (ip);
    currentAsk.number = ++lastNumber;

    if (ip == own.ip)
        return applyGrant (now, tenant, answerAsk (now, makeAsk (tenant, state), ip));

    dropExpiredAsks (now);
    sentAsks[currentAsk.number] = { tenant, ip, {}, 0 };

    sendAsk (now, tenant, state);
}

void TenantQuotas::sendAsk (Timestamp now, const std::string& tenant, TenantState& state)
{
    auto& currentAsk = state.currentAsk;
    ++currentAsk.sent;
    ++counts.asks;
    auto& sent = sentAsks[currentAsk.number];
    sent.sentAt = now;
    sent.sent = currentAsk.sent;
    hooks.send (currentAsk.ip, encode (makeAsk (tenant, state)));
    currentAsk.returned = 0; // The ask may be sent again, but must return these requests only once.
    currentAsk.timeoutAt = now + answerTime.current();
    answerTimeouts.emplace (currentAsk.timeoutAt, tenant);
}

void TenantQuotas::onAnswerTimeout (Timestamp now, const std::string& tenant)
{
    const auto found = byTenant.find (tenant);

    if (found == byTenant.end())
        return;

    auto& state = found->second;

    // The ask has been answered or sent again in the meantime.
    if (state.currentAsk.number == 0 || state.currentAsk.timeoutAt > now)
        return;

    ++counts.unanswered;
    answerTime.recordTimeOut();

    if (state.currentAsk.sent < maxSends)
        return sendAsk (now, tenant, state);

    choice.markUnresponsive (now, state.currentAsk.ip);
    askNextKeeper (now, tenant, state);
}

void TenantQuotas::dropExpiredAsks (Timestamp now)
{
    while (! sentAsks.empty() && now - sentAsks.begin()->second.sentAt > sentAskLifetime)
        sentAsks.erase (sentAsks.begin());
}

void TenantQuotas::receiveGrant (Timestamp now, const std::string& ip, const QuotaGrant& grant)
{
    const auto found = sentAsks.find (grant.number);

    if (found == sentAsks.end() || found->second.ip != ip)
        return;

    const auto sent = sentAsks.extract (found).mapped();
    choice.markResponsive (ip);

    // If the ask was sent twice, it isn't known which datagram was answered.
    if (sent.sent == 1)
        answerTime.recordAnswer (now - sent.sentAt);

    auto& state = stateFor (sent.tenant);

    if (state.currentAsk.number == grant.number)
        return applyGrant (now, sent.tenant, grant);

    if (grant.granted == 0)
        return;

    state.lease.addGrant (now, grant.granted, grant.fallbackPerSecond);
    admitGranted (now, state, false);
}

void TenantQuotas::applyGrant (Timestamp now, const std::string& tenant, const QuotaGrant& grant)
{
    auto& state = stateFor (tenant);
    const auto& tried = state.currentAsk.tried;
    const bool isNew = std::find (tried.begin(), tried.end(), grant.keeper) == tried.end();

    if (! grant.keeper.empty() && isNew && ! std::exchange (state.currentAsk.redirected, true))
        return askKeeper (now, tenant, state, grant.keeper);

    if (! grant.keeper.empty())
        return decideLocally (now, tenant, state);

    state.currentAsk.number = 0;
    state.lastKeeper = state.currentAsk.ip;

    if (grant.granted > 0)
        state.lease.addGrant (now, grant.granted, grant.fallbackPerSecond);

    if (grant.retryAfterMs > 0)
        state.lease.refuseFor (now, Milliseconds (grant.retryAfterMs));

    admitGranted (now, state, grant.retryAfterMs > 0);

    if (! state.waiting.empty())
        askIfNeeded (now, tenant);
}

void TenantQuotas::admitGranted (Timestamp now, TenantState& state, bool refuseRemaining)
{
    auto waiting = std::exchange (state.waiting, {});

    for (auto& each : waiting)
    {
        const bool passed = state.lease.takeGranted (now) == QuotaDecision::pass;

        // Requests that arrived after the ask was sent are covered by the next ask.
        if (! passed && ! refuseRemaining)
            state.waiting.push_back (std::move (each));
        else
            pass (now, each, state, passed, false);
    }
}

void TenantQuotas::admitAll (Timestamp now, TenantState& state)
{
    for (const auto& each : std::exchange (state.waiting, {}))
        pass (now, each, state, true, false);
}

void TenantQuotas::decideLocally (Timestamp now, const std::string& tenant, TenantState& state)
{
    state.currentAsk.number = 0;
    const auto* known = tenantNamed (tenant);
    auto waiting = std::exchange (state.waiting, {});
    hooks.onLocalFallback ({ tenant, waiting.size(), state.currentAsk.tried.size(),
                             view.nodes().size(), state.lease.arrivalRate (now) });

    std::uniform_real_distribution<double> uniform (0, 1);

    for (auto& each : waiting)
    {
        const bool passed = known == nullptr ||
                            state.lease.takeWithoutKeeper (now, known->quota, view.nodes().size(),
                                                           uniform (random)) == QuotaDecision::pass;
        pass (now, each, state, passed, true);
    }
}

} // namespace copperlead::mesh
