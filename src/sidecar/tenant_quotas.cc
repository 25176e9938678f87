#include "sidecar/tenant_quotas.h"

#include <algorithm>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds lateAnswerTime{ 1000 }; // In which an answer is still of use.
constexpr int mostSent = 2; // Of one ask to one node: a datagram is lost now and then.

Timestamp now() { return SteadyClock().Now(); }

} // namespace

TenantQuotas::TenantQuotas (std::shared_ptr<Reactor> reactorToUse,
                            TenantQuotaSettings settingsToUse,
                            std::shared_ptr<DecisionLog> logToUse)
    : reactor (std::move (reactorToUse))
    , settings (std::move (settingsToUse))
    , log (std::move (logToUse))
    , keeper (settings.bounds, settings.seed)
{
}

void TenantQuotas::setRoutes (std::shared_ptr<const mesh::RouteTable> newRoutes)
{
    routes = std::move (newRoutes);
    std::erase_if (byTenant, [this] (const auto& item)
                   { return item.second.waiting.empty() && tenantNamed (item.first) == nullptr; });
}

void TenantQuotas::setDirectory (const mesh::DirectorySnapshot& directory)
{
    auto nodes = mesh::quotaNodesOf (directory);

    if (nodes == view.nodes())
        return;

    view = mesh::QuotaView (std::move (nodes), settings.own);
    keeper.setView (view);

    for (auto& [name, state] : byTenant)
        state.hasCandidates = false;
}

const mesh::Tenant* TenantQuotas::tenantNamed (const std::string& name) const
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

void TenantQuotas::take (const mesh::Tenant& tenant, Callback callback)
{
    if (! tenant.quota.limits())
        return callback ({});

    const auto name = tenant.name; // The callback may let the configuration go.
    auto& state = stateOf (name);
    const auto step = state.lease.take (now());

    if (step == mesh::QuotaStep::wait)
        state.waiting.push_back ({ std::move (callback), now() });
    else
        pass ({ std::move (callback), {} }, state, step == mesh::QuotaStep::pass, false);

    askIfNeeded (name);
}

void TenantQuotas::pass (Waiting waiting, const TenantState& state, bool passed, bool alone)
{
    if (waiting.since != Timestamp{})
        counts.waited.observe (mesh::toMilliseconds (now() - waiting.since));

    if (alone)
        ++(passed ? counts.passedAlone : counts.refusedAlone);
    else
        ++(passed ? counts.passed : counts.refused);

    waiting.callback ({ passed, alone ? std::string() : state.lastKeeper });
}

void TenantQuotas::giveBack (const std::string& tenant)
{
    if (const auto found = byTenant.find (tenant); found != byTenant.end())
    {
        ++counts.returned;
        found->second.lease.giveBack (now());
    }
}

void TenantQuotas::askIfNeeded (const std::string& tenant)
{
    auto& state = stateOf (tenant);

    if (state.asking.number != 0)
        return;

    const auto wanted = state.lease.wanted (now(), state.waiting.size());

    if (wanted == 0)
        return;

    state.asking = {};
    state.asking.wanted = wanted;
    state.asking.returned = state.lease.takeLapsed (now());
    askNext (tenant, state);
}

void TenantQuotas::askNext (const std::string& tenant, TenantState& state)
{
    const auto* node = choice.next (now(), state.candidates, state.asking.tried);

    if (node == nullptr)
        return goAlone (tenant, state);

    askAt (tenant, state, node->ip);
}

void TenantQuotas::askAt (const std::string& tenant, TenantState& state, const std::string& ip)
{
    auto& asking = state.asking;
    asking.ip = ip;
    asking.sent = 0;
    asking.tried.push_back (ip);
    asking.number = ++lastNumber;

    if (ip == settings.own.ip)
        return onGrant (tenant,
                        keep ({ asking.number, tenant, asking.wanted, asking.returned }, ip));

    forgetOldAsks();
    sentAsks[asking.number] = { tenant, ip, {}, 0 };

    sendAsk (tenant, state);
}

void TenantQuotas::sendAsk (const std::string& tenant, TenantState& state)
{
    auto& asking = state.asking;
    ++asking.sent;
    ++counts.asks;
    auto& sent = sentAsks[asking.number];
    sent.sentAt = now();
    sent.sent = asking.sent;
    // Given back once, or a doubled datagram would give it back twice.
    const auto returned = std::exchange (asking.returned, 0);
    send (asking.ip,
          mesh::encode (mesh::QuotaAsk{ asking.number, tenant, asking.wanted, returned }));
    armTimeout (tenant, state);
}

void TenantQuotas::armTimeout (const std::string& tenant, const TenantState& state)
{
    reactor->RunAt (
        now() + answerTime.current(),
        [weak = weak_from_this(), tenant, number = state.asking.number, sent = state.asking.sent]
        {
            if (const auto self = weak.lock())
                self->onTimeout (tenant, number, sent);
        });
}

void TenantQuotas::onTimeout (const std::string& tenant, std::uint64_t number, int sent)
{
    const auto found = byTenant.find (tenant);

    if (found == byTenant.end())
        return;

    auto& state = found->second;

    if (state.asking.number != number || state.asking.sent != sent)
        return;

    ++counts.unanswered;
    answerTime.timedOut();

    if (sent < mostSent)
        return sendAsk (tenant, state);

    choice.silent (now(), state.asking.ip);
    askNext (tenant, state);
}

void TenantQuotas::forgetOldAsks()
{
    while (! sentAsks.empty() && now() - sentAsks.begin()->second.sentAt > lateAnswerTime)
        sentAsks.erase (sentAsks.begin());
}

void TenantQuotas::takeGrant (const std::string& ip, const mesh::QuotaGrant& grant)
{
    const auto found = sentAsks.find (grant.number);

    if (found == sentAsks.end() || found->second.ip != ip)
        return;

    const auto sent = sentAsks.extract (found).mapped();
    choice.answered (ip);

    // Of one that was sent twice it isn't known which was answered.
    if (sent.sent == 1)
        answerTime.answered (now() - sent.sentAt);

    auto& state = stateOf (sent.tenant);

    if (state.asking.number == grant.number)
        return onGrant (sent.tenant, grant);

    if (grant.granted == 0)
        return;

    state.lease.granted (now(), grant.granted, grant.alonePerSecond);
    passGranted (state, false);
}

void TenantQuotas::onGrant (const std::string& tenant, const mesh::QuotaGrant& grant)
{
    auto& state = stateOf (tenant);
    const auto& tried = state.asking.tried;
    const bool isNew = std::find (tried.begin(), tried.end(), grant.keeper) == tried.end();

    if (! grant.keeper.empty() && isNew && ! std::exchange (state.asking.redirected, true))
        return askAt (tenant, state, grant.keeper);

    if (! grant.keeper.empty())
        return goAlone (tenant, state);

    state.asking.number = 0;
    state.lastKeeper = state.asking.ip;

    if (grant.granted > 0)
        state.lease.granted (now(), grant.granted, grant.alonePerSecond);

    if (grant.retryAfterMs > 0)
        state.lease.refused (now(), Milliseconds (grant.retryAfterMs));

    passGranted (state, grant.retryAfterMs > 0);

    if (! state.waiting.empty())
        askIfNeeded (tenant);
}

void TenantQuotas::passGranted (TenantState& state, bool refuseOthers)
{
    auto waiting = std::exchange (state.waiting, {});

    for (auto& each : waiting)
    {
        const bool passed = state.lease.takeGranted (now()) == mesh::QuotaStep::pass;

        // Those that came after the ask was sent are asked for next.
        if (! passed && ! refuseOthers)
            state.waiting.push_back (std::move (each));
        else
            pass (std::move (each), state, passed, false);
    }
}

void TenantQuotas::goAlone (const std::string& tenant, TenantState& state)
{
    state.asking.number = 0;
    const auto* known = tenantNamed (tenant);
    auto waiting = std::exchange (state.waiting, {});
    log->write (now(), EventKind::quotaAlone,
                { { "tenant", tenant },
                  { "waiting", static_cast<std::int64_t> (waiting.size()) },
                  { "tried", static_cast<std::int64_t> (state.asking.tried.size()) },
                  { "nodes", static_cast<std::int64_t> (view.nodes().size()) },
                  { "per_second", state.lease.perSecond (now()) } });

    for (auto& each : waiting)
    {
        const bool passed =
            known == nullptr || state.lease.takeAlone (now(), known->quota, view.nodes().size()) ==
                                    mesh::QuotaStep::pass;
        pass (std::move (each), state, passed, true);
    }
}

mesh::QuotaGrant TenantQuotas::keep (const mesh::QuotaAsk& ask, const std::string& ip)
{
    const auto* tenant = tenantNamed (ask.tenant);

    // Another version runs here, which lacks the tenant or its limit: no reason to hold it up.
    if (tenant == nullptr || ! tenant->quota.limits())
        return { ask.number, ask.wanted, 0, {}, 0 };

    const bool wasActive = keeper.active (now());
    const auto grant = keeper.ask (now(), *tenant, ask, ip);

    if (! wasActive)
        ping();

    armPings();
    return grant;
}

void TenantQuotas::armPings()
{
    if (std::exchange (pinging, true))
        return;

    reactor->RunAt (now() + mesh::QuotaKeeper::pingInterval,
                    [weak = weak_from_this()]
                    {
                        const auto self = weak.lock();

                        if (self == nullptr)
                            return;

                        self->pinging = false;
                        self->ping();

                        if (self->keeper.active (now()))
                            self->armPings();
                    });
}

void TenantQuotas::ping()
{
    for (const auto& ip : keeper.pingsDue (now()))
        send (ip, mesh::encode (mesh::QuotaPing{ false }));
}

bool TenantQuotas::receive (const std::string& ip, std::string_view datagram)
{
    if (const auto ask = mesh::decodeQuotaAsk (datagram))
    {
        keeper.heard (now(), ip);
        send (ip, mesh::encode (keep (*ask, ip)));
        return true;
    }

    if (const auto grant = mesh::decodeQuotaGrant (datagram))
    {
        takeGrant (ip, *grant);
        return true;
    }

    if (const auto ping = mesh::decodeQuotaPing (datagram))
    {
        keeper.heard (now(), ip);

        if (! ping->isReply)
            send (ip, mesh::encode (mesh::QuotaPing{ true }));

        return true;
    }

    return false;
}

} // namespace copperlead::sidecar
