#include "sidecar/sidecar.h"

#include <sys/stat.h>

#include <algorithm>

#include "mesh/milliseconds.h"
#include "sidecar/messages.h"

namespace copperlead::sidecar
{
namespace
{

using std::chrono::duration_cast;

constexpr Milliseconds tickInterval{ 250 };
constexpr int ticksPerFileCheck = 4;
constexpr double strongCpuShare = 0.2, strongLinkMbps = 50; // Of machines that should read.
constexpr std::size_t hopHeadBytes = 65536;
constexpr Milliseconds hopIdleTime{ 60'000 };
constexpr Milliseconds platformNotices{ 3000 }; // Until no new client is sent here.
constexpr Milliseconds killMargin{ 300 };
constexpr Milliseconds answerMargin{ 150 }; // For the last answers to be written.
constexpr Milliseconds lastRunTime{ 1200 }; // Left for requests that were taken last.

Timestamp now() { return SteadyClock().Now(); }

std::int64_t fileStamp (const std::string& path)
{
    struct stat facts
    {
    };

    if (path.empty() || stat (path.c_str(), &facts) != 0)
        return 0;

    return facts.st_mtim.tv_sec * 1'000'000'000 + facts.st_mtim.tv_nsec + facts.st_size;
}

std::string plainAnswer (int status, std::string_view cause)
{
    return ownAnswer (status, cause, {}, true, false);
}

std::uint64_t seedFrom (const std::string& id)
{
    return std::hash<std::string>{}(id) ^
           static_cast<std::uint64_t> (now().time_since_epoch().count());
}

FirstHopSettings firstHopSettings (const SidecarSettings& settings)
{
    FirstHopSettings made;
    made.names = settings.names;
    made.zone = settings.zone;
    made.service = settings.service;
    made.ownIp = settings.instance.ip;
    made.peerPort = settings.inbound.port;
    made.budget.ratio = settings.retryRatio;
    made.budget.slack = settings.retrySlack;
    made.budget.window = settings.retryWindow;
    return made;
}

} // namespace

Sidecar::Sidecar (SidecarSettings settingsToUse, std::shared_ptr<Reactor> reactorToUse,
                  std::shared_ptr<DecisionLog> logToUse)
    : settings (std::move (settingsToUse))
    , reactor (std::move (reactorToUse))
    , log (std::move (logToUse))
    , settingsStamp (fileStamp (settings.file))
{
    lastHop = std::make_shared<LastHop> (
        reactor,
        LastHopSettings{ settings.names, settings.instance, settings.service, settings.extraSlots },
        log);
    firstHop = std::make_shared<FirstHop> (reactor, firstHopSettings (settings), lastHop, log,
                                           seedFrom (settings.id));
}

Sidecar::~Sidecar() = default;

std::shared_ptr<HttpServer> Sidecar::makeServer (std::function<mesh::ClientLimits()> limits,
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
    return std::make_shared<HttpServer> (reactor, std::move (made));
}

Result<Done> Sidecar::start()
{
    const auto hopLimits = []
    {
        mesh::ClientLimits limits;
        limits.headerBytes = hopHeadBytes;
        limits.idleTimeout = hopIdleTime;
        return limits;
    };
    const auto weak = weak_from_this();
    auto takeRequest = [weak] (const ExchangePointer& exchange)
    {
        if (const auto self = weak.lock())
            self->firstHop->take (exchange);
    };

    ServerSettings forClients;
    forClients.limits = [weak]
    {
        const auto self = weak.lock();
        return self == nullptr ? mesh::ClientLimits{} : self->clientLimits();
    };
    forClients.errorMessage = plainAnswer;
    forClients.handler = takeRequest;
    outbound = std::make_shared<HttpServer> (reactor, std::move (forClients));
    inbound = makeServer (hopLimits, &Sidecar::takeHopCall);
    readiness = makeServer (hopLimits, &Sidecar::answerReadiness);
    metrics = makeServer (hopLimits, &Sidecar::answerMetrics);

    firstHop->onPeerVersion = [weak] (std::uint64_t version)
    {
        const auto self = weak.lock();

        if (self == nullptr || version <= self->state.configurations().version())
            return;

        if (self->relay != nullptr)
            self->relay->sawVersion (version);

        if (self->onBehind)
            self->onBehind();
    };
    firstHop->routesAge = [weak]
    {
        const auto self = weak.lock();
        return self == nullptr ? std::nullopt : self->wordAgeMs();
    };

    BOOST_LEAF_CHECK (outbound->listen (settings.outbound));
    BOOST_LEAF_CHECK (inbound->listen (settings.inbound));
    BOOST_LEAF_CHECK (readiness->listen (settings.readiness));

    if (! settings.metrics.empty())
        BOOST_LEAF_CHECK (metrics->listen (settings.metrics));

    if (! settings.relay.empty())
    {
        relay = makeRelay();
        BOOST_LEAF_CHECK (relay->start());
    }

    log->write (now(), EventKind::started,
                { { "zone", settings.zone },
                  { "service", settings.service },
                  { "outbound", ToString (settings.outbound) },
                  { "inbound", ToString (settings.inbound) },
                  { "readiness", ToString (settings.readiness) } });
    tick();
    return Done{};
}

mesh::ClientLimits Sidecar::clientLimits() const
{
    const auto& routes = state.configurations().routes();
    return routes == nullptr ? mesh::ClientLimits{} : routes->configuration().limits;
}

void Sidecar::takeUpdate (Timestamp at, mesh::MeshUpdate update)
{
    const auto outcome = state.take (at, std::move (update));

    if (outcome.instancesChanged)
        directoryChanged (at);

    if (outcome.configuration)
        followConfiguration (at, *outcome.configuration);

    if (relay != nullptr)
        relay->reached (at, state.reached(), state.configurations().version());
}

void Sidecar::announceUpdate()
{
    if (relay != nullptr)
        relay->announce();
}

void Sidecar::followConfiguration (Timestamp at, const mesh::ConfigurationOutcome& outcome)
{
    if (outcome.error.kind == ErrorKind::kUnknownBase && relay != nullptr)
        relay->wantWhole();

    if (! outcome.verdict || outcome.verdict == mesh::ConfigurationVerdict::older)
        return refuseConfiguration (at, outcome.error, outcome.revision);

    if (outcome.verdict != mesh::ConfigurationVerdict::taken)
        return;

    const auto& routes = state.configurations().routes();
    const auto& services = routes->configuration().services;
    const auto own = services.find (settings.service);
    firstHop->setRoutes (routes);
    lastHop->setConfigurationVersion (outcome.version);
    lastHop->setHealthPath (own == services.end() ? std::string() : own->second.healthPath);
    log->write (
        at, EventKind::configurationTaken,
        { { "version", static_cast<std::int64_t> (outcome.version) },
          { "before", static_cast<std::int64_t> (outcome.before) },
          { "revision", static_cast<std::int64_t> (outcome.revision) },
          { "routes", static_cast<std::int64_t> (routes->configuration().routes.size()) } });
}

void Sidecar::refuseConfiguration (Timestamp at, const Error& error, std::uint64_t revision)
{
    log->write (at, EventKind::configurationRefused,
                { { "running", static_cast<std::int64_t> (state.configurations().version()) },
                  { "place", error.place },
                  { "cause", error.cause },
                  { "revision", static_cast<std::int64_t> (revision) } });
}

void Sidecar::refuseEntry (Timestamp at, const std::string& key, const Error& error)
{
    log->write (at, EventKind::entryRefused,
                { { "key", key }, { "place", error.place }, { "cause", error.cause } });
}

void Sidecar::directoryChanged (Timestamp at)
{
    const auto snapshot = state.directory().snapshot();
    firstHop->setDirectory (snapshot);
    lastHop->setDirectory (at, *snapshot);

    if (relay != nullptr)
        relay->setPeers (mesh::peersOf (*snapshot, settings.zone, settings.instance.ip));
}

std::shared_ptr<Relay> Sidecar::makeRelay()
{
    RelaySettings made;
    made.node = settings.id;
    made.zone = settings.zone;
    made.address = settings.relay;
    made.peerPort = settings.inbound.port;
    made.strength = (settings.cpuShare >= strongCpuShare ? 1 : 0) +
                    (settings.linkMbps >= strongLinkMbps ? 1 : 0);

    const auto weak = weak_from_this();
    RelayHooks hooks;
    hooks.take = [weak] (Timestamp at, mesh::MeshUpdate update)
    {
        if (const auto self = weak.lock())
            self->takeUpdate (at, std::move (update));
    };
    hooks.setReading = [weak] (bool reading)
    {
        const auto self = weak.lock();

        if (self != nullptr && self->setReading)
            self->setReading (reading, self->state.reached());
    };
    hooks.sourceSound = [weak] (Timestamp)
    {
        const auto self = weak.lock();
        return self != nullptr && self->sourceStatus && self->sourceStatus().sound;
    };
    return std::make_shared<Relay> (reactor, std::move (made), std::move (hooks), log);
}

std::optional<double> Sidecar::wordAgeMs() const
{
    const auto own = sourceStatus ? sourceStatus().lastSuccess : Timestamp{};
    const auto zone = relay == nullptr ? Timestamp{} : relay->upToDateAt();
    return mesh::ageInMilliseconds (now(), std::max (own, zone));
}

void Sidecar::answerChanges (const ExchangePointer& exchange)
{
    const auto numbers = std::string_view (exchange->head.target).substr (changesPath.size());
    const auto slash = numbers.find ('/');
    std::uint64_t from = 0, version = 0;

    if (slash == std::string_view::npos || ! ParseWholeNumber (numbers.substr (0, slash), from) ||
        ! ParseWholeNumber (numbers.substr (slash + 1), version))
        return exchange->respond (plainAnswer (400, "not a revision and a version"), true);

    const auto update = state.changesSince (from, version);
    exchange->respond (
        answerMessage (
            { 200, {}, mesh::encode (update), exchange->mustClose(), exchange->isHead() }, {}),
        exchange->mustClose());
}

void Sidecar::takeHopCall (const ExchangePointer& exchange)
{
    if (exchange->head.target.starts_with (changesPath))
        return answerChanges (exchange);

    const auto facts = mesh::decodeHopRequest (onlyValue (exchange->head.fields, mesh::hopField));

    if (! facts)
        return exchange->respond (plainAnswer (400, "not a hop call"), true);

    HopCall call;
    call.facts = *facts;
    call.method = exchange->head.method;
    call.target = exchange->head.target;
    call.fields = forwardedFields (exchange->head.fields, settings.names);
    call.fields.insert (call.fields.begin(),
                        { "Host", std::string (onlyValue (exchange->head.fields, "Host")) });
    call.body = std::move (exchange->body);

    call.abandoned = [weak = std::weak_ptr<Exchange> (exchange)]
    {
        const auto held = weak.lock();
        return held == nullptr || held->clientLeft();
    };

    auto id = std::make_shared<LastHop::CallId> (0);
    exchange->onGone = [weak = std::weak_ptr<LastHop> (lastHop), id]
    {
        if (const auto hop = weak.lock())
            hop->cancel (*id);
    };
    *id = lastHop->start (std::move (call),
                          [exchange] (HopAnswer answer)
                          {
                              answer.fields.push_back (
                                  { std::string (mesh::hopField), mesh::encode (answer.report) });
                              const int status = answer.status == 0 ? 503 : answer.status;
                              exchange->respond (
                                  answerMessage ({ status, answer.reason, answer.body,
                                                   exchange->mustClose(), exchange->isHead() },
                                                 answer.fields),
                                  exchange->mustClose());
                          });
}

bool Sidecar::ready() const
{
    return stopAt == Timestamp{} && state.configurations().routes() != nullptr &&
           state.reached() > 0;
}

void Sidecar::answerReadiness (const ExchangePointer& exchange)
{
    const bool known = exchange->head.target == settings.readinessPath;
    const int status = ! known ? 404 : ready() ? 200 : 503;
    exchange->respond (ownAnswer (status, status == 200 ? "ready" : "not ready", {},
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
    shown.waiting = lastHop->admission().waiting();
    shown.connections = outbound->connections();
    shown.configurationVersion = state.configurations().version();
    shown.sourceRevision = state.reached();
    shown.sourceCalls = source.calls;
    shown.logLinesLeftOut = log->leftOut();
    shown.ready = ready();
    shown.reading = relay == nullptr || relay->reading();
    shown.sourceWordAgeMs = mesh::ageInMilliseconds (at, source.lastSuccess);
    shown.retryBudgetLeft = firstHop->retryBudgetLeft (at);

    if (relay != nullptr)
    {
        shown.relay = relay->counters();
        shown.zoneWordAgeMs = mesh::ageInMilliseconds (at, relay->upToDateAt());
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

void Sidecar::tick()
{
    const auto at = now();
    lastHop->tick (at);

    if (relay != nullptr)
        relay->tick (at);

    log->flush();

    if (++ticks % ticksPerFileCheck == 0)
    {
        state.directory().advance (at);
        directoryChanged (at);
        checkSettingsFile();
    }

    reactor->RunAt (at + tickInterval,
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                            self->tick();
                    });
}

void Sidecar::checkSettingsFile()
{
    if (const auto stamp = fileStamp (settings.file); stamp != 0 && stamp != settingsStamp)
        reload ("file changed");
}

void Sidecar::reload (std::string_view cause)
{
    if (settings.file.empty())
        return;

    settingsStamp = fileStamp (settings.file);
    const auto parsed = Resolve (
        [&] {
            return parseSidecarSettings ({ "--settings", settings.file });
        });

    if (! parsed)
        return log->write (now(), EventKind::settingsRefused,
                           { { "cause", ToString (parsed.error()) } });

    // Addresses stay: they are bound. What the instance is called may change under a running node.
    settings.service = parsed.value().settings.service;
    firstHop->setService (settings.service);
    lastHop->setService (settings.service);
    log->write (now(), EventKind::settingsReloaded,
                { { "cause", cause }, { "service", settings.service } });
}

std::size_t Sidecar::inFlight() const { return firstHop->inFlight() + lastHop->inFlight(); }

void Sidecar::stop (std::function<void()> ended)
{
    if (stopAt != Timestamp{})
        return;

    stopAt = now();
    onStopped = std::move (ended);
    const auto end = stopAt + settings.grace - killMargin - answerMargin;
    firstHop->setClosing (end);
    lastHop->setEnd (end);

    if (relay != nullptr)
        relay->resign();

    log->write (stopAt, EventKind::stopping,
                { { "in_flight", static_cast<std::int64_t> (inFlight()) },
                  { "connections", static_cast<std::int64_t> (outbound->connections()) } });
    log->flush();
    continueStop();
}

void Sidecar::continueStop()
{
    const auto at = now();
    const auto since = duration_cast<Milliseconds> (at - stopAt);
    const auto killAt = settings.grace - killMargin;

    if (since >= platformNotices)
    {
        outbound->stopListening();
        outbound->closeIdle();
    }

    if (since >= killAt - lastRunTime)
        lastHop->stopTaking();

    const bool quiet = inFlight() == 0 && outbound->connections() == 0;

    if (since >= killAt || (since >= platformNotices && quiet))
    {
        log->write (at, EventKind::stopped,
                    { { "in_flight", static_cast<std::int64_t> (inFlight()) },
                      { "after_ms", since.count() } });
        log->flush();
        return std::exchange (onStopped, nullptr)();
    }

    reactor->RunAt (at + Milliseconds (50),
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                            self->continueStop();
                    });
}

} // namespace copperlead::sidecar
