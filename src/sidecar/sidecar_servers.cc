/** The servers of a sidecar, for clients, other nodes, readiness checks and metrics. */
#include "mesh/milliseconds.h"
#include "sidecar/http/messages.h"
#include "sidecar/sidecar.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t hopHeadBytes = 98304; // A client's head, and its id once more, escaped.
constexpr Milliseconds hopIdleTime{ 60'000 };

// In which some of the messages that take the memory will have been passed on.
constexpr std::string_view retryAfterSeconds = "0.300";

// The metrics page lists this many tenants and sums up the others.
constexpr std::size_t maxTenantsShown = 50;

Timestamp now() { return SteadyClock().Now(); }

/** Returns the resident memory of this process in bytes; 0 if the system doesn't tell. */
std::uint64_t residentBytes()
{
    std::ifstream file ("/proc/self/statm");
    std::uint64_t virtualPages = 0, residentPages = 0;
    file >> virtualPages >> residentPages;
    return residentPages * static_cast<std::uint64_t> (sysconf (_SC_PAGESIZE));
}

/** Builds the response to a client's request that the server rejects itself. */
Message clientError (int status, std::string_view cause)
{
    if (status != 503)
        return plainAnswer (status, cause);

    return localAnswer (status, cause, { { "Retry-After", std::string (retryAfterSeconds) } }, true,
                        false);
}

} // namespace

ServerSettings Sidecar::serverSettings (std::function<mesh::ClientLimits()> limits,
                                        void (Sidecar::*handler) (const ExchangePointer&))
{
    ServerSettings made;
    made.limits = std::move (limits);
    made.errorMessage = plainAnswer;
    made.handler = [weak = weak_from_this(), handler] (const ExchangePointer& exchange)
    {
        if (const auto self = weak.lock())
            (*self.*handler) (exchange);
    };
    return made;
}

void Sidecar::makeServers()
{
    const auto hopLimits = []
    {
        mesh::ClientLimits limits;
        limits.headerBytes = hopHeadBytes;
        limits.bodyBytes = SIZE_MAX; // The sending node has checked the body.
        limits.idleTimeout = hopIdleTime;
        return limits;
    };
    const auto weak = weak_from_this();
    const auto clientLimitsNow = [weak]
    {
        const auto self = weak.lock();
        return self == nullptr ? mesh::ClientLimits{} : self->clientLimits();
    };

    const MemoryRefusal onMemoryRefused =
        [weak] (const RequestHead& head, std::size_t bytes, const BufferPool& pool)
    {
        if (const auto self = weak.lock())
            self->refuseForMemory (head, bytes, pool);
    };
    auto forClients = serverSettings (clientLimitsNow, &Sidecar::handleRequest);
    forClients.bodyPools = pools.clientBodies;
    forClients.streamsBodies = true;
    forClients.onMemoryRefused = onMemoryRefused;
    forClients.errorMessage = clientError;
    forClients.canRunConcurrently = [weak] (const RequestHead& head)
    {
        const auto self = weak.lock();
        return self != nullptr && self->firstHop->canRunConcurrently (head);
    };
    forClients.mayBreakOff = [weak] (const RequestHead& head)
    {
        const auto self = weak.lock();
        return self != nullptr && self->firstHop->mayBreakOff (head);
    };
    auto forNodes = serverSettings (hopLimits, &Sidecar::answerPeer);
    forNodes.bodyGate = [weak] (const ExchangePointer& exchange)
    {
        if (const auto self = weak.lock())
            self->peerEndpoint->admitBody (exchange);
    };
    forNodes.bodyPools = pools.nodeBodies;
    forNodes.streamsBodies = true;
    forNodes.onMemoryRefused = onMemoryRefused;
    forNodes.errorMessage = [endpoint = peerEndpoint] (int status, std::string_view cause)
    { return status == 503 ? endpoint->memoryRefusal() : plainAnswer (status, cause); };
    forNodes.link = link;
    outbound = std::make_shared<HttpServer> (reactor, std::move (forClients));
    inbound = std::make_shared<HttpServer> (reactor, std::move (forNodes));
    readiness = std::make_shared<HttpServer> (
        reactor, serverSettings (hopLimits, &Sidecar::answerReadiness));
    metrics =
        std::make_shared<HttpServer> (reactor, serverSettings (hopLimits, &Sidecar::answerMetrics));
}

void Sidecar::handleRequest (const ExchangePointer& exchange) { firstHop->handle (exchange); }

void Sidecar::answerPeer (const ExchangePointer& exchange) { peerEndpoint->take (exchange); }

void Sidecar::answerReadiness (const ExchangePointer& exchange)
{
    const bool known = exchange->head.target == settings.readinessPath;
    const int status = ! known ? 404 : ready() ? 200 : 503;
    exchange->respond (localAnswer (status, status == 200 ? "ready" : "not ready", {},
                                    exchange->mustClose(), exchange->isHead()),
                       exchange->mustClose());
}

SidecarFigures Sidecar::figures() const
{
    const auto at = now();
    const auto source = sourceStatus ? sourceStatus() : SourceStatus{};
    SidecarFigures shown;
    shown.first = firstHop->counters();
    shown.last = lastHop->counters();
    shown.toInstance = lastHop->clientCounters();
    shown.inFlight = inFlight();
    shown.running = lastHop->admission().running();
    shown.failureShare = lastHop->failureShare (at);
    shown.coldMs = std::max (lastHop->coldMs (at), 0.0);
    shown.statedLimit = lastHop->admission().rateLimit().requestsPerSecond();
    shown.instanceLeaving = lastHop->instanceLeaving();
    shown.zonesEvacuated = state.evacuatedZones().size();
    shown.waiting = lastHop->admission().waiting();
    shown.connections = outbound->connections();
    shown.clients = outbound->counters();
    shown.bodies = bodies->counters();
    shown.searches = firstHop->searchCounters();
    shown.queries = firstHop->queryCounters();
    shown.crashGuard = crashGuard->counters();
    shown.crashSuspects = crashGuard->suspects();
    shown.quotas = firstHop->tenantQuotas().counters();
    shown.keeper = firstHop->tenantQuotas().keeperCounters();
    shown.tenants = firstHop->tenantQuotas().busiestTenants (maxTenantsShown);
    shown.link = link->counters();
    shown.linkWaiting = link->waiting();
    shown.bodiesWaiting = bodies->waiting();
    shown.begun = lastHop->admission().startedRuns();
    shown.configurationVersion = state.configurations().version();
    shown.sourcePosition = state.reached();
    shown.sourceCalls = source.calls;
    shown.entriesRefused = entriesRefused;
    shown.handlerFailures = handlerFailures;
    shown.omittedLogLines = log->omittedLines();
    shown.ready = ready();
    shown.reading = relay == nullptr || relay->reading();
    shown.msSinceSourceAnswer = mesh::ageInMilliseconds (at, source.lastSuccess);
    shown.retryBudgetLeft = firstHop->retryBudgetLeft (at);

    shown.pools = pools.figures();
    shown.unwrittenBytes = outbound->bufferedResponseBytes() + inbound->bufferedResponseBytes();
    shown.residentBytes = residentBytes();

    if (relay != nullptr)
    {
        shown.relay = relay->counters();
        shown.msSinceZoneUpToDate = mesh::ageInMilliseconds (at, relay->upToDateAt());
    }

    return shown;
}

void Sidecar::answerMetrics (const ExchangePointer& exchange)
{
    const bool known = exchange->head.target == settings.metricsPath;
    const auto text = known ? metricsText (figures()) : std::string ("no such path\n");
    exchange->respond (
        answerMessage ({ known ? 200 : 404, {}, text, exchange->mustClose(), exchange->isHead() },
                       { { "Content-Type", "text/plain; version=0.0.4" } }),
        exchange->mustClose());
}

} // namespace copperlead::sidecar
