#include "sidecar/first_hop.h"

#include <fmt/format.h>

#include <algorithm>

#include "mesh/avoidance.h"
#include "mesh/enum_names.h"
#include "mesh/retry_after.h"
#include "sidecar/active_request.h"
#include "sidecar/messages.h"

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds notReadyRetryAfter{ 200 };
constexpr double freshWordMs = 2500;               // After which an unknown route may be a new one.
constexpr std::uint64_t longestWaitMs = 3'600'000; // That a client may announce.
constexpr double neverMs = -1;                     // An age in the log of what has never been.

} // namespace

FirstHop::FirstHop (std::shared_ptr<Reactor> reactorToUse, FirstHopSettings settingsToUse,
                    std::shared_ptr<LastHop> lastHopToUse, std::shared_ptr<DecisionLog> logToUse,
                    std::uint64_t seed)
    : reactor (std::move (reactorToUse))
    , settings (std::move (settingsToUse))
    , log (std::move (logToUse))
    , lastHop (std::move (lastHopToUse))
    , caller (reactor, lastHop, settings.ownIp, settings.peerPort)
    , chooser ({ settings.locality }, seed)
    , quotas (settings.quotas, { settings.ownIp, settings.zone }, seed, quotaHooks())
    , quotaTimer (reactor)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
{
}

Result<Done> FirstHop::start()
{
    searchContext = { reactor, lastHop, nullptr, &chooser, settings.ownIp, &searches };

    if (settings.loadQueries.empty())
        return Done{};

    const auto weak = weak_from_this();
    queries = std::make_shared<LoadQueries> (
        reactor, settings.loadQueries,
        [hop = lastHop] (const mesh::LoadQuery& query) { return hop->forecast (query, true); },
        [weak] (const mesh::LoadReply& reply)
        {
            if (const auto self = weak.lock())
                self->hear (reply);
        });
    searchContext.queries = queries;
    queries->takeOther = [weak] (const std::string& ip, std::string_view datagram)
    {
        const auto self = weak.lock();

        if (self == nullptr || ! self->quotas.receive (SteadyClock().Now(), ip, datagram))
            return false;

        self->armQuotaTimer();
        return true;
    };
    return queries->start();
}

mesh::TenantQuotaHooks FirstHop::quotaHooks()
{
    mesh::TenantQuotaHooks hooks;
    hooks.send = [this] (const std::string& ip, const std::string& bytes)
    {
        if (queries != nullptr)
            queries->sendOther (ip, bytes);
    };
    hooks.alone = [this] (const mesh::QuotaSolitude& alone)
    {
        log->write (SteadyClock().Now(), EventKind::quotaAlone,
                    { { "tenant", alone.tenant },
                      { "waiting", static_cast<std::int64_t> (alone.waiting) },
                      { "tried", static_cast<std::int64_t> (alone.tried) },
                      { "nodes", static_cast<std::int64_t> (alone.nodes) },
                      { "per_second", alone.perSecond } });
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

void FirstHop::giveBackQuota (const mesh::Tenant& tenant)
{
    quotas.giveBack (SteadyClock().Now(), tenant.name);
}

void FirstHop::setRoutes (std::shared_ptr<const mesh::RouteTable> newRoutes)
{
    routes = std::move (newRoutes);
    quotas.setRoutes (routes);
}

LoadQueryCounters FirstHop::queryCounters() const
{
    return queries == nullptr ? LoadQueryCounters{} : queries->counters();
}

void FirstHop::hear (const mesh::LoadReply& reply)
{
    const auto at = SteadyClock().Now();
    const auto howLong = mesh::avoidanceFor (reply.cause);

    // A datagram may be forged: it makes an instance the last choice, never none.
    if (howLong > Milliseconds (0))
        return chooser.suspect (at, reply.instanceId, howLong);

    chooser.reported (at, reply.instanceId, { reply.load, reply.runMs, reply.bodyMs });
}

void FirstHop::setDirectory (mesh::DirectoryPointer newDirectory)
{
    directory = std::move (newDirectory);
    chooser.forgetAllBut (*directory);
    quotas.setDirectory (*directory);
}

void FirstHop::setClosing (Timestamp end)
{
    closing = true;
    endsAt = end;
    reactor->RunAt (end,
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                            self->endAll();
                    });
}

void FirstHop::endAll()
{
    std::vector<std::shared_ptr<ActiveRequest>> left;

    for (auto* request : active)
        left.push_back (request->shared_from_this());

    for (const auto& request : left)
        request->onDeadline();
}

double FirstHop::retryBudgetLeft (Timestamp now)
{
    auto least = settings.budget.slack;

    for (auto& [service, budget] : budgets)
        least = std::min (least, budget.left (now, nodes()));

    return least;
}

std::size_t FirstHop::nodes() const { return directory == nullptr ? 1 : directory->nodes; }

mesh::RetryBudget& FirstHop::budgetOf (const std::string& service)
{
    return budgets.try_emplace (service, settings.budget).first->second;
}

void FirstHop::answerOwn (const ExchangePointer& exchange, int status, std::string_view cause,
                          Milliseconds retryAfter)
{
    HeaderFields fields;
    const auto id = onlyValue (exchange->head.fields, settings.names.requestId);

    if (! id.empty())
        fields.push_back ({ settings.names.requestId, std::string (id) });

    if (status == 503 || status == 429)
        fields.push_back (
            { "Retry-After",
              fmt::format ("{:.3f}", static_cast<double> (retryAfter.count()) / 1000) });

    const bool close = mustClose (*exchange);
    exchange->respond (ownAnswer (status, cause, fields, close, exchange->isHead()), close);
}

bool FirstHop::mustClose (const Exchange& exchange) const
{
    // A close under a request that was passed on behind this one would cut that off.
    return exchange.mustClose() || (closing && exchange.isLatest());
}

bool FirstHop::mayRunBeside (const RequestHead& head) const
{
    if (routes == nullptr)
        return false;

    const auto* route = routes->find (onlyValue (head.fields, "Host"), head.target);
    return route != nullptr && route->mayRepeat();
}

std::optional<double> FirstHop::wordAgeMs() const { return routesAge ? routesAge() : std::nullopt; }

bool FirstHop::wordIsFresh() const
{
    const auto age = wordAgeMs();
    return age && *age <= freshWordMs;
}

void FirstHop::refuse (const ExchangePointer& exchange, int status, std::string_view cause)
{
    ++(status == 404 ? counts.noRoute : counts.refused);
    const auto version =
        routes == nullptr ? 0 : static_cast<std::int64_t> (routes->configuration().version);
    log->write (SteadyClock().Now(), EventKind::requestUnrouted,
                { { "request", onlyValue (exchange->head.fields, settings.names.requestId) },
                  { "host", onlyValue (exchange->head.fields, "Host") },
                  { "target", exchange->head.target },
                  { "version", version },
                  { "status", std::int64_t (status) },
                  { "cause", cause },
                  { "word_age_ms", wordAgeMs().value_or (neverMs) } });
    answerOwn (exchange, status, cause, notReadyRetryAfter);
}

void FirstHop::take (const ExchangePointer& exchange)
{
    ++counts.requests;

    if (routes == nullptr || directory == nullptr)
        return refuse (exchange, 503, "no configuration yet");

    const auto id = onlyValue (exchange->head.fields, settings.names.requestId);
    const auto* route =
        routes->find (onlyValue (exchange->head.fields, "Host"), exchange->head.target);

    if (route == nullptr && ! wordIsFresh())
        return refuse (exchange, 503, "the configuration may be out of date");

    if (route == nullptr)
        return refuse (exchange, 404, "no route");

    if (id.empty())
        return refuse (exchange, 400, "exactly one request id is needed");

    const auto credential = onlyValue (exchange->head.fields, settings.names.credential);
    const auto checked = checkCredential (
        settings.credentials, { *routes, *route, credential, exchange->fromOwnIp, wordAgeMs() });

    if (checked.verdict != mesh::CredentialVerdict::accepted)
        return refuseCredential (exchange, *route, checked);

    admit (exchange, *route, checked.tenant);
}

void FirstHop::admit (const ExchangePointer& exchange, const mesh::Route& route,
                      const mesh::Tenant* tenant)
{
    const auto begin = [self = shared_from_this(), exchange, held = routes, &route, tenant]
    {
        const auto id = onlyValue (exchange->head.fields, self->settings.names.requestId);
        std::make_shared<ActiveRequest> (self, exchange, held, route, tenant, std::string (id))
            ->begin();
    };

    if (tenant == nullptr)
        return begin();

    quotas.take (SteadyClock().Now(), *tenant,
                 [weak = weak_from_this(), exchange, held = routes, &route, tenant,
                  begin] (const mesh::TenantQuotas::Verdict& verdict)
                 {
                     const auto self = weak.lock();

                     if (self == nullptr)
                         return;

                     if (exchange->clientLeft())
                         ++self->counts.clientsLeft;
                     else if (verdict.passed)
                         return begin();
                     else
                         return self->refuseOverQuota (exchange, route, *tenant, verdict.keeper);

                     if (verdict.passed)
                         self->giveBackQuota (*tenant);
                 });
    armQuotaTimer();
}

Duration FirstHop::clientWaits (const Exchange& exchange) const
{
    std::uint64_t waits = 0;
    ParseWholeNumber (onlyValue (exchange.head.fields, settings.names.deadline), waits);
    return Milliseconds (std::min (waits, longestWaitMs));
}

void FirstHop::refuseCredential (const ExchangePointer& exchange, const mesh::Route& route,
                                 const mesh::CredentialResult& result)
{
    const bool isTooOld = result.verdict == mesh::CredentialVerdict::wordTooOld;
    const int status = isTooOld ? 503 : 401;
    const auto cause = nameOf (result.verdict, mesh::credentialVerdictNames);
    ++(! isTooOld ? counts.unknownCredentials : counts.refused);
    log->write (SteadyClock().Now(), EventKind::credentialRefused,
                { { "request", onlyValue (exchange->head.fields, settings.names.requestId) },
                  { "route", route.name },
                  { "version", static_cast<std::int64_t> (routes->configuration().version) },
                  { "status", std::int64_t (status) },
                  { "cause", cause },
                  { "word_age_ms", wordAgeMs().value_or (neverMs) } });
    answerOwn (exchange, status, cause, notReadyRetryAfter);
}

void FirstHop::refuseOverQuota (const ExchangePointer& exchange, const mesh::Route& route,
                                const mesh::Tenant& tenant, const std::string& keeper)
{
    constexpr std::string_view cause = "over the tenant's quota";
    ++counts.overQuota;
    const auto spread = std::uniform_real_distribution<double> (0, 1) (random);
    const auto comeBack =
        mesh::retryAfter (mesh::HopCause::queueFull, clientWaits (*exchange), spread);
    log->write (SteadyClock().Now(), EventKind::quotaRefused,
                { { "request", onlyValue (exchange->head.fields, settings.names.requestId) },
                  { "route", route.name },
                  { "tenant", tenant.name },
                  { "keeper", keeper },
                  { "limit", tenant.quota.requestsPerSecond },
                  { "retry_after_ms", static_cast<std::int64_t> (comeBack.count()) } });
    answerOwn (exchange, 429, cause, comeBack);
}

} // namespace copperlead::sidecar
