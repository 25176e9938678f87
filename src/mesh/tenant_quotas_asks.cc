/** How a node asks keepers for grants, and what it does with their answers or without any. */
#include <algorithm>
#include <utility>

#include "mesh/milliseconds.h"
#include "mesh/tenant_quotas.h"

namespace copperlead::mesh
{

namespace
{

constexpr Milliseconds lateAnswerTime{ 1000 }; // In which an answer is still of use.
constexpr int mostSent = 2; // Of one ask to one node: a datagram is lost now and then.

} // namespace

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

QuotaAsk TenantQuotas::askOf (const std::string& tenant, const TenantState& state)
{
    const auto& asking = state.asking;
    return { asking.number,   tenant,       asking.wanted,
             asking.returned, asking.quota, digestOf (state.candidates) };
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
        return onGrant (now, tenant, keep (now, askOf (tenant, state), ip));

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
    hooks.send (asking.ip, encode (askOf (tenant, state)));
    asking.returned = 0; // Given back once: the ask may be sent again.
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

} // namespace copperlead::mesh
