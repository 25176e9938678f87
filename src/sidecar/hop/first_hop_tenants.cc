/** Checks the tenant and quota of a request before the first hop starts it. */
#include <algorithm>

#include "mesh/enum_names.h"
#include "mesh/retry_after.h"
#include "sidecar/hop/active_request.h"
#include "sidecar/hop/first_hop.h"
#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{
namespace
{

// The longest timeout that is accepted from a client.
constexpr std::uint64_t maxClientTimeoutMs = 3'600'000;

} // namespace

mesh::TenantQuotaHooks FirstHop::quotaHooks()
{
    mesh::TenantQuotaHooks hooks;
    hooks.send = [this] (const std::string& ip, const std::string& bytes)
    {
        if (queries != nullptr)
            queries->sendOther (ip, bytes);
    };
    hooks.onLocalFallback = [this] (const mesh::QuotaFallback& alone)
    {
        log->write (SteadyClock().Now(), EventKind::quotaAlone,
                    { { "tenant", alone.tenant },
                      { "waiting", static_cast<std::int64_t> (alone.waiting) },
                      { "tried", static_cast<std::int64_t> (alone.tried) },
                      { "nodes", static_cast<std::int64_t> (alone.nodes) },
                      { "per_second", alone.perSecond } });
    };
    hooks.onUsageReport = [this] (const std::string& tenant, const mesh::QuotaUsage& use)
    {
        log->write (SteadyClock().Now(), EventKind::quotaUsed,
                    { { "tenant", tenant },
                      { "keeper", use.keeper },
                      { "passed", std::int64_t (use.passed) },
                      { "refused", std::int64_t (use.refused) },
                      { "passed_alone", std::int64_t (use.passedAlone) },
                      { "refused_alone", std::int64_t (use.refusedAlone) },
                      { "returned", std::int64_t (use.returned) } });
    };
    hooks.onKeeperReport =
        [this] (const std::string& tenant, const mesh::QuotaKeeperActivity& keeping)
    {
        log->write (SteadyClock().Now(), EventKind::quotaKept,
                    { { "tenant", tenant },
                      { "granted", std::int64_t (keeping.granted) },
                      { "refused", std::int64_t (keeping.refused) },
                      { "returned", std::int64_t (keeping.returned) },
                      { "redirected", std::int64_t (keeping.redirected) },
                      { "begun", std::int64_t (keeping.begun) },
                      { "reachable", keeping.reachableShare },
                      { "level", keeping.level } });
    };
    return hooks;
}

void FirstHop::armQuotaTimer()
{
    quotaTimer.arm (quotas.nextDue(),
                    [weak = weak_from_this()]
                    {
                        const auto self = weak.lock();

                        if (self == nullptr)
                            return;

                        self->quotas.advance (SteadyClock().Now());
                        self->armQuotaTimer();
                    });
}

void FirstHop::returnQuotaToken (const mesh::Tenant& tenant, Timestamp expiresAt)
{
    quotas.giveBack (SteadyClock().Now(), tenant.name, expiresAt);
}

void FirstHop::admit (const ExchangePointer& exchange, const mesh::Route& route,
                      const mesh::Tenant* tenant)
{
    const auto begin =
        [self = shared_from_this(), exchange, held = routes, &route, tenant] (Timestamp expiresAt)
    {
        const auto id = onlyValue (exchange->head.fields, self->settings.names.requestId);
        std::make_shared<ActiveRequest> (self, exchange, held, route,
                                         RequestTenant{ tenant, expiresAt }, std::string (id))
            ->begin();
    };

    if (tenant == nullptr)
        return begin ({});

    const DeferredCallback<mesh::TenantQuotas::Verdict> decided (
        reactor->callbacks(),
        [weak = weak_from_this(), exchange, held = routes, &route, tenant,
         begin] (const mesh::TenantQuotas::Verdict& verdict)
        {
            const auto self = weak.lock();

            if (self == nullptr)
                return;

            if (exchange->clientDisconnected())
                ++self->counts.clientsLeft;
            else if (verdict.passed)
                return begin (verdict.lapsesAt);
            else
                return self->refuseOverQuota (exchange, route, *tenant, verdict.keeper);

            if (verdict.passed)
                self->returnQuotaToken (*tenant, verdict.lapsesAt);
        });
    quotas.acquire (SteadyClock().Now(), *tenant, decided);
    armQuotaTimer();
}

Duration FirstHop::clientTimeout (const Exchange& exchange) const
{
    std::uint64_t timeoutMs = 0;
    ParseWholeNumber (onlyValue (exchange.head.fields, settings.names.deadline), timeoutMs);
    return Milliseconds (std::min (timeoutMs, maxClientTimeoutMs));
}

void FirstHop::refuseCredential (const ExchangePointer& exchange, const mesh::Route& route,
                                 const mesh::CredentialResult& result)
{
    const bool isUnconfirmed = result.verdict == mesh::CredentialVerdict::configurationMayBeStale;
    const int status = isUnconfirmed ? 503 : 401;
    const auto cause = nameOf (result.verdict, mesh::credentialVerdictNames);
    ++(! isUnconfirmed ? counts.unknownCredentials : counts.refused);
    log->write (SteadyClock().Now(), EventKind::credentialRefused,
                { { "request", onlyValue (exchange->head.fields, settings.names.requestId) },
                  { "route", route.name },
                  { "version", static_cast<std::int64_t> (routes->configuration().version) },
                  { "status", std::int64_t (status) },
                  { "cause", cause },
                  { "word_age_ms", loggedMsSinceConfirmation() } });
    answerLocally (exchange, status, cause, notReadyRetryAfter);
}

void FirstHop::refuseOverQuota (const ExchangePointer& exchange, const mesh::Route& route,
                                const mesh::Tenant& tenant, const std::string& keeper)
{
    constexpr std::string_view cause = "over the tenant's quota";
    ++counts.overQuota;
    const auto spread = std::uniform_real_distribution<double> (0, 1) (random);
    const auto retryDelay =
        mesh::retryAfter (mesh::HopCause::queueFull, clientTimeout (*exchange), spread);
    log->write (SteadyClock().Now(), EventKind::quotaRefused,
                { { "request", onlyValue (exchange->head.fields, settings.names.requestId) },
                  { "route", route.name },
                  { "tenant", tenant.name },
                  { "keeper", keeper },
                  { "limit", tenant.quota.requestsPerSecond },
                  { "retry_after_ms", static_cast<std::int64_t> (retryDelay.count()) } });
    answerLocally (exchange, 429, cause, retryDelay);
}

} // namespace copperlead::sidecar
