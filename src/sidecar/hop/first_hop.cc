#include "sidecar/hop/first_hop.h"

#include <fmt/format.h>

#include <algorithm>

#include "mesh/avoidance.h"
#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "sidecar/hop/active_request.h"
#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{

mesh::RequestIdentity identityOf (const Exchange& exchange, const mesh::Tenant* tenant)
{
    return { exchange.head.method,
             onlyValue (exchange.head.fields, "Host"),
             exchange.head.target,
             tenant == nullptr ? std::string_view() : std::string_view (tenant->name),
             exchange.body.identifyingBytes(),
             exchange.body.size() - exchange.body.identifyingBytes().size() };
}

FirstHop::FirstHop (std::shared_ptr<Reactor> reactorToUse, FirstHopSettings settingsToUse,
                    std::shared_ptr<LastHop> lastHopToUse, std::shared_ptr<CrashGuard> guardToUse,
                    std::shared_ptr<DecisionLog> logToUse, std::uint64_t seed)
    : reactor (std::move (reactorToUse))
    , settings (std::move (settingsToUse))
    , log (std::move (logToUse))
    , lastHop (std::move (lastHopToUse))
    , guard (std::move (guardToUse))
    , caller (reactor, lastHop, settings.ownIp, settings.peerPort, settings.answerPools)
    , chooser ({ settings.locality }, seed)
    , quotas (settings.quotas, { settings.ownIp, settings.zone }, seed, quotaHooks())
    , quotaTimer (reactor)
    , random (static_cast<std::minstd_rand::result_type> (seed % std::minstd_rand::modulus))
    , budgetThreshold (std::uniform_real_distribution<double> (0, 1) (random))
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
                self->recordLoadReply (reply);
        });
    searchContext.queries = queries;
    queries->onOtherDatagram = [weak] (const std::string& ip, std::string_view datagram)
    {
        const auto self = weak.lock();
        return self != nullptr && self->receiveDatagram (ip, datagram);
    };
    guard->send = [weak] (const std::string& ip, const std::string& bytes)
    {
        if (const auto self = weak.lock())
            self->queries->sendOther (ip, bytes);
    };
    return queries->start();
}

bool FirstHop::receiveDatagram (const std::string& ip, std::string_view datagram)
{
    if (guard->receive (ip, datagram))
        return true;

    if (! quotas.receive (SteadyClock().Now(), ip, datagram))
        return false;

    armQuotaTimer();
    return true;
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

void FirstHop::recordLoadReply (const mesh::LoadReply& reply)
{
    const auto at = SteadyClock().Now();
    const auto duration = mesh::avoidanceFor (reply.cause);

    // A datagram may be forged, so it can make an instance the last choice but never exclude it.
    if (duration > Milliseconds (0))
        return chooser.suspect (at, reply.instanceId, duration);

    if (reply.cause == mesh::HopCause::instanceLimited)
        chooser.recordLimited (at, reply.instanceId, mesh::fromMilliseconds (reply.expectedMs));

    chooser.recordReport (at, reply.instanceId, { reply.load, reply.runMs, reply.bodyTransferMs });
}

void FirstHop::setDirectory (mesh::DirectoryPointer newDirectory)
{
    directory = std::move (newDirectory);
    chooser.forgetUnlisted (*directory);
    quotas.setDirectory (*directory);
    guard->setDirectory (*directory);
}

void FirstHop::beginStop (const mesh::StopPlan& plan)
{
    stopPlan = plan;
    reactor->RunAt (plan.answerDeadline(),
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                            self->endAll();
                    });
}

void FirstHop::endAll()
{
    std::vector<std::shared_ptr<ActiveRequest>> remaining;

    for (auto* request : active)
        remaining.push_back (request->shared_from_this());

    for (const auto& request : remaining)
        request->onDeadline();
}

double FirstHop::retryBudgetLeft (Timestamp now)
{
    auto minimum = settings.budget.slack;

    for (auto& [service, budget] : budgets)
        minimum = std::min (minimum, budget.remaining (now, nodeCount()));

    return minimum;
}

std::size_t FirstHop::nodeCount() const { return directory == nullptr ? 1 : directory->nodes; }

mesh::RetryBudget& FirstHop::budgetOf (const std::string& service)
{
    return budgets.try_emplace (service, settings.budget, startedAt, budgetThreshold).first->second;
}

void FirstHop::answerLocally (const ExchangePointer& exchange, int status, std::string_view cause,
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
    exchange->respond (localAnswer (status, cause, fields, close, exchange->isHead()), close);
}

bool FirstHop::mustClose (const Exchange& exchange) const
{
    // A client can't know whether a request that was read and got no response has run.
    return exchange.mustClose() || (stopPlan && exchange.isLastRead());
}

const mesh::Route* FirstHop::routeOf (const RequestHead& head) const
{
    return routes == nullptr ? nullptr
                             : routes->find (onlyValue (head.fields, "Host"), head.target);
}

bool FirstHop::canRunConcurrently (const RequestHead& head) const
{
    const auto* route = routeOf (head);
    return route != nullptr && route->mayRepeat();
}

bool FirstHop::mayBreakOff (const RequestHead& head) const
{
    const auto* route = routeOf (head);
    return route != nullptr && (route->repeatability == mesh::Repeatability::download ||
                                streamedAnswers.areLikely (SteadyClock().Now(), route->name));
}

std::optional<double> FirstHop::msSinceConfirmation() const
{
    return msSinceRoutesConfirmed ? msSinceRoutesConfirmed() : std::nullopt;
}

bool FirstHop::isRecentlyConfirmed() const
{
    const auto age = msSinceConfirmation();
    return age && *age <= static_cast<double> (settings.credentials.maxConfirmationAge.count());
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
                  { "word_age_ms", loggedMsSinceConfirmation() } });
    answerLocally (exchange, status, cause, notReadyRetryAfter);
}

void FirstHop::refuseCrashSuspect (const ExchangePointer& exchange, const mesh::Route& route,
                                   const mesh::Hold& hold)
{
    ++counts.refused;
    guard->countRefusal();
    log->write (SteadyClock().Now(), EventKind::suspectRefused,
                { { "request", onlyValue (exchange->head.fields, settings.names.requestId) },
                  { "route", route.name },
                  { "digest", toText (hold.request) },
                  { "crashes", std::int64_t (hold.crashes) },
                  { "age_ms", static_cast<std::int64_t> (hold.age.count()) },
                  { "retry_after_ms", static_cast<std::int64_t> (hold.remaining.count()) } });
    answerLocally (exchange, 503, nameOf (mesh::HopCause::crashSuspect, mesh::hopCauseNames),
                   hold.remaining);
}

void FirstHop::handle (const ExchangePointer& exchange)
{
    ++counts.requests;

    if (routes == nullptr || directory == nullptr)
        return refuse (exchange, 503, "no configuration yet");

    const auto id = onlyValue (exchange->head.fields, settings.names.requestId);
    const auto* route = routeOf (exchange->head);

    if (route == nullptr && ! isRecentlyConfirmed())
        return refuse (exchange, 503, "the configuration may be out of date");

    if (route == nullptr)
        return refuse (exchange, 404, "no route");

    if (id.empty())
        return refuse (exchange, 400, "exactly one request id is needed");

    const auto credential = onlyValue (exchange->head.fields, settings.names.credential);
    const auto checked =
        checkCredential (settings.credentials, { *routes, *route, credential, exchange->fromSameIp,
                                                 msSinceConfirmation() });

    if (checked.verdict != mesh::CredentialVerdict::accepted)
        return refuseCredential (exchange, *route, checked);

    if (const auto hold = guard->holdOf (identityOf (*exchange, checked.tenant)))
        return refuseCrashSuspect (exchange, *route, *hold);

    admit (exchange, *route, checked.tenant);
}

} // namespace copperlead::sidecar
