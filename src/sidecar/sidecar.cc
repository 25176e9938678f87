#include "sidecar/sidecar.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "mesh/enum_names.h"
#include "mesh/milliseconds.h"
#include "sidecar/http/messages.h"

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds fileCheckInterval{ 1000 };

Timestamp now() { return SteadyClock().Now(); }

std::uint64_t seedFrom (const std::string& id)
{
    return std::hash<std::string>{}(id) ^
           static_cast<std::uint64_t> (now().time_since_epoch().count());
}

FirstHopSettings firstHopSettings (const SidecarSettings& settings, const MessagePools& pools)
{
    FirstHopSettings made;
    made.names = settings.names;
    made.zone = settings.zone;
    made.locality = mesh::Locality (settings.zone, settings.zoneRegions);
    made.credentials = settings.credentials;
    made.quotas = settings.quotas;
    made.service = settings.service;
    made.ownIp = settings.instance.ip;
    made.peerPort = settings.inbound.port;
    made.loadQueries = settings.loadQueries;
    made.budget.ratio = settings.retryRatio;
    made.budget.slack = settings.retrySlack;
    made.budget.window = settings.retryWindow;
    made.answerPools = pools.nodeAnswers;
    return made;
}

} // namespace

Sidecar::Sidecar (SidecarSettings settingsToUse, std::shared_ptr<Reactor> reactorToUse,
                  std::shared_ptr<DecisionLog> logToUse)
    : settings (std::move (settingsToUse))
    , reactor (std::move (reactorToUse))
    , log (std::move (logToUse))
    , pools (reactor, mesh::MemoryPlan::forMachine (settings.memoryBytes))
    , state (settings.entryHeartbeat)
    , settingsFile (settings.file)
    , lapseTimer (reactor)
{
    crashGuard =
        std::make_shared<CrashGuard> (reactor, settings.crashes, settings.instance.ip, log);
    lastHop = std::make_shared<LastHop> (
        reactor,
        LastHopSettings{ settings.names, settings.instance, settings.service, settings.zone,
                         settings.extraSlots, settings.coldBounds, pools.instanceAnswers },
        log);
    state.directory().setLocality ({ settings.zone, settings.zoneRegions });
    bodies = std::make_shared<BodyAdmission> (reactor, settings.linkMbps);
    link = std::make_shared<LinkPacer> (reactor, settings.linkMbps);
    lastHop->answerMs = [pacer = link] (double bytes) { return pacer->expectedMs (bytes); };
    lastHop->bodyTransferMs = [admission = bodies] { return admission->expectedMs(); };
    peerEndpoint = std::make_shared<PeerEndpoint> (settings.names, lastHop, bodies, log, state);
    lastHop->setCrashGuard (crashGuard);
    firstHop = std::make_shared<FirstHop> (reactor, firstHopSettings (settings, pools), lastHop,
                                           crashGuard, log, seedFrom (settings.id));
}

Sidecar::~Sidecar() = default;

Result<Done> Sidecar::start()
{
    reactor->OnException (
        [weak = weak_from_this()] (const std::string& cause)
        {
            if (const auto self = weak.lock())
                self->reportFailure (cause);
        });
    makeServers();
    connectFirstHop();
    BOOST_LEAF_CHECK (firstHop->start());
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
    logMemoryPlan();
    tick();
    return Done{};
}

void Sidecar::reportFailure (std::string_view cause)
{
    ++handlerFailures;
    log->write (
        now(), EventKind::handlerFailed,
        { { "cause", cause }, { "failures", static_cast<std::int64_t> (handlerFailures) } });
}

void Sidecar::logMemoryPlan()
{
    const auto figures = pools.figures();
    std::vector<Field> fields{ { "memory", static_cast<std::int64_t> (settings.memoryBytes) } };

    for (std::size_t i = 0; i < figures.size(); ++i)
        fields.push_back ({ messagePoolNames[i], static_cast<std::int64_t> (figures[i].limit) });

    log->write (now(), EventKind::memoryPlanned, fields);
}

void Sidecar::checkBodyLimit (Timestamp at)
{
    const auto allowed = clientLimits().bodyBytes;
    const auto held = pools.clientBodies.unsized->limit();

    if (allowed > held)
        log->write (at, EventKind::bodyLimitTooLarge,
                    { { "max_body_bytes", static_cast<std::int64_t> (allowed) },
                      { "unsized_up_to", static_cast<std::int64_t> (held) },
                      { "memory", static_cast<std::int64_t> (settings.memoryBytes) } });
}

void Sidecar::refuseForMemory (const RequestHead& head, std::size_t bytes, const BufferPool& pool)
{
    log->write (now(), EventKind::memoryRefused,
                { { "request", onlyValue (head.fields, settings.names.requestId) },
                  { "bytes", static_cast<std::int64_t> (bytes) },
                  { "used", static_cast<std::int64_t> (pool.used()) },
                  { "limit", static_cast<std::int64_t> (pool.limit()) },
                  { "waiting", static_cast<std::int64_t> (pool.waiting()) } });
}

void Sidecar::connectFirstHop()
{
    const auto weak = weak_from_this();
    firstHop->onPeerVersion = [weak] (std::uint64_t version, const std::string& ip)
    {
        const auto self = weak.lock();

        if (self == nullptr || version <= self->state.configurations().version())
            return;

        if (self->relay != nullptr)
            self->relay->recordVersion (version, ip);
        else if (self->onLaterVersion)
            self->onLaterVersion();
    };
    firstHop->msSinceRoutesConfirmed = [weak]
    {
        const auto self = weak.lock();
        return self == nullptr ? std::nullopt : self->msSinceConfirmation();
    };
}

mesh::ClientLimits Sidecar::clientLimits() const
{
    const auto& routes = state.configurations().routes();
    return routes == nullptr ? mesh::ClientLimits{} : routes->configuration().limits;
}

void Sidecar::takeUpdate (Timestamp at, mesh::MeshUpdate update)
{
    const auto updated = update.position;
    const auto known = state.reached();
    recordSourceAnswers();
    const auto outcome = state.take (at, std::move (update));
    logListingOutcome (at, outcome, updated, known);

    // The configuration comes first, since it holds the load limits of cold instances.
    if (outcome.configuration)
        handleConfigurationOutcome (at, *outcome.configuration);

    if (outcome.instancesChanged)
        handleDirectoryChange (at);

    for (const auto& change : outcome.evacuations)
        logEvacuation (at, change);

    for (const auto& id : outcome.staleIncarnations)
        refuseEntry (at, id, { ErrorKind::kBadValue, "born", "is earlier than before" });

    if (relay != nullptr)
        relay->positionReached (at, state.reached(), state.configurations().version());
}

void Sidecar::logListingOutcome (Timestamp at, const mesh::UpdateOutcome& outcome,
                                 mesh::SourcePosition updated, mesh::SourcePosition known)
{
    if (! outcome.listingIgnored && ! outcome.restored)
        return;

    log->write (at, outcome.restored ? EventKind::sourceRestored : EventKind::listingIgnored,
                { { "epoch", static_cast<std::int64_t> (updated.epoch) },
                  { "revision", static_cast<std::int64_t> (updated.revision) },
                  { "known_epoch", static_cast<std::int64_t> (known.epoch) },
                  { "known_revision", static_cast<std::int64_t> (known.revision) } });
}

void Sidecar::announceUpdate()
{
    if (relay != nullptr)
        relay->announce();
}

void Sidecar::handleConfigurationOutcome (Timestamp at, const mesh::ConfigurationOutcome& outcome)
{
    if (outcome.error.kind == ErrorKind::kUnknownBase && relay != nullptr)
        relay->requestFullUpdate();

    if (! outcome.verdict || outcome.verdict == mesh::ConfigurationVerdict::older)
        return refuseConfiguration (at, outcome.error, outcome.position);

    if (outcome.verdict != mesh::ConfigurationVerdict::taken)
        return;

    const auto& routes = state.configurations().routes();
    firstHop->setRoutes (routes);
    lastHop->setConfigurationVersion (outcome.version);
    setServiceSettings (at, routes->configuration());
    checkBodyLimit (at);
    log->write (
        at, EventKind::configurationTaken,
        { { "version", static_cast<std::int64_t> (outcome.version) },
          { "before", static_cast<std::int64_t> (outcome.before) },
          { "epoch", static_cast<std::int64_t> (outcome.position.epoch) },
          { "revision", static_cast<std::int64_t> (outcome.position.revision) },
          { "routes", static_cast<std::int64_t> (routes->configuration().routes.size()) } });
}

void Sidecar::setServiceSettings (Timestamp at, const mesh::MeshConfiguration& configuration)
{
    const auto found = configuration.services.find (settings.service);
    const auto serviceSettings =
        found == configuration.services.end() ? mesh::ServiceSettings{} : found->second;

    if (serviceSettings.cold.coldPeriod.count() > 0 && serviceSettings.cold.startsPerSecond < 1)
        reportImplausibleValue (at, settings.service, "starts a second while cold",
                                std::to_string (serviceSettings.cold.startsPerSecond));

    lastHop->setServiceSettings (serviceSettings);
}

void Sidecar::reportImplausibleValue (Timestamp at, std::string_view key, std::string_view place,
                                      std::string_view value)
{
    log->write (at, EventKind::valueDoubted,
                { { "key", key }, { "place", place }, { "cause", value } });
}

void Sidecar::logEvacuation (Timestamp at, const mesh::EvacuationChange& change)
{
    const auto& known = state.directory().snapshot()->byAddress;
    const auto instances =
        std::count_if (known.begin(), known.end(),
                       [&] (const auto& item) { return item.second.instance.zone == change.zone; });
    log->write (at, change.ended ? EventKind::zoneReturned : EventKind::zoneEvacuated,
                { { "zone", change.zone },
                  { "epoch", static_cast<std::int64_t> (change.position.epoch) },
                  { "revision", static_cast<std::int64_t> (change.position.revision) },
                  { "instances", static_cast<std::int64_t> (instances) } });
}

void Sidecar::refuseConfiguration (Timestamp at, const Error& error, mesh::SourcePosition position)
{
    log->write (at, EventKind::configurationRefused,
                { { "running", static_cast<std::int64_t> (state.configurations().version()) },
                  { "place", error.place },
                  { "cause", error.cause },
                  { "epoch", static_cast<std::int64_t> (position.epoch) },
                  { "revision", static_cast<std::int64_t> (position.revision) } });
}

void Sidecar::refuseEntry (Timestamp at, const std::string& key, const Error& error)
{
    ++entriesRefused;
    log->write (at, EventKind::entryRefused,
                { { "key", key }, { "place", error.place }, { "cause", error.cause } });
}

void Sidecar::logUnlisted (Timestamp at)
{
    for (const auto& instance : state.directory().takeUnlisted())
        log->write (at, EventKind::instanceUnlisted,
                    { { "instance", instance.id },
                      { "state", mesh::nameOf (instance.state, mesh::instanceStateNames) },
                      { "cause", mesh::nameOf (instance.cause, mesh::unlistedCauseNames) },
                      { "reading", relay == nullptr || relay->reading() ? "yes" : "no" },
                      { "epoch", static_cast<std::int64_t> (instance.position.epoch) },
                      { "revision", static_cast<std::int64_t> (instance.position.revision) },
                      { "lapse_ms", mesh::toMilliseconds (instance.lapse) } });
}

void Sidecar::recordSourceAnswers()
{
    if (sourceStatus)
        state.sourceAnswered (sourceStatus().lastSuccess);
}

void Sidecar::handleReportedAnswers (Timestamp at, const mesh::AnswerPeriod& reported)
{
    state.answersReported (reported);

    if (state.directory().nextLapseEnd() != Timestamp::max())
        advanceState (at);
}

void Sidecar::armLapseTimer()
{
    const auto end = state.directory().nextLapseEnd();

    if (end == Timestamp::max())
        return;

    lapseTimer.arm (end,
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                            self->advanceState (now());
                    });
}

void Sidecar::handleDirectoryChange (Timestamp at)
{
    logUnlisted (at);

    for (const auto& id : state.directory().takeUnnamed())
        refuseEntry (at, id,
                     { ErrorKind::kUnknownService, "service", "isn't in the configuration" });

    const auto snapshot = state.directory().snapshot();
    lastHop->setDirectory (at, *snapshot);
    armLapseTimer();

    // An unchanged snapshot needs no further work, whose cost grows with the number of instances.
    if (std::exchange (directory, snapshot) == snapshot)
        return;

    firstHop->setDirectory (snapshot);

    if (relay != nullptr)
    {
        const bool isListed = snapshot->byAddress.contains (ToString (settings.instance));
        relay->setPeers (at, mesh::peersOf (*snapshot, settings.zone, settings.instance.ip),
                         isListed);
    }
}

std::shared_ptr<Relay> Sidecar::makeRelay()
{
    RelaySettings made;
    made.node = settings.id;
    made.zone = settings.zone;
    made.address = settings.relay;
    made.peerPort = settings.inbound.port;
    made.strength = readerStrength (settings);
    made.timing = settings.timing;

    const auto weak = weak_from_this();
    RelayHooks hooks;
    hooks.applyUpdate = [weak] (Timestamp at, mesh::MeshUpdate update)
    {
        if (const auto self = weak.lock())
            self->takeUpdate (at, std::move (update));
    };
    hooks.setReading = [weak] (bool reading, const mesh::ZoneConfirmation& zone)
    {
        const auto self = weak.lock();

        if (self != nullptr && self->setReading)
            self->setReading (reading, self->state.reached(), zone);
    };
    hooks.ownConfirmation = [weak]
    {
        const auto self = weak.lock();

        if (self == nullptr || ! self->sourceStatus)
            return mesh::ZoneConfirmation{};

        const auto status = self->sourceStatus();
        return mesh::ZoneConfirmation{ status.lastSuccess, status.absenceDistrustedUntil };
    };
    hooks.answerPeriod = [weak]
    {
        const auto self = weak.lock();
        return self == nullptr ? mesh::AnswerPeriod{} : self->state.answerPeriod();
    };
    hooks.onAnswersReported = [weak] (Timestamp at, const mesh::AnswerPeriod& reported)
    {
        if (const auto self = weak.lock())
            self->handleReportedAnswers (at, reported);
    };
    hooks.refreshListing = [weak]
    {
        const auto self = weak.lock();

        if (self != nullptr && self->onPeerListingRequested)
            self->onPeerListingRequested();
    };
    hooks.onPeerAheadOfSource = [weak]
    {
        const auto self = weak.lock();

        if (self != nullptr && self->onLaterPosition)
            self->onLaterPosition (self->state.reached());
    };
    hooks.isSourceReachable = [weak] (Timestamp)
    {
        const auto self = weak.lock();
        return self != nullptr && self->sourceStatus && self->sourceStatus().healthy;
    };
    hooks.setMinRetryInterval = [weak] (Milliseconds interval)
    {
        const auto self = weak.lock();

        if (self != nullptr && self->setSourceMinRetryInterval)
            self->setSourceMinRetryInterval (interval);
    };
    return std::make_shared<Relay> (reactor, std::move (made), std::move (hooks), log);
}

std::optional<double> Sidecar::msSinceConfirmation() const
{
    const auto own = sourceStatus ? sourceStatus().lastSuccess : Timestamp{};
    const auto zone = relay == nullptr ? Timestamp{} : relay->confirmedAt();
    return mesh::ageInMilliseconds (now(), std::max (own, zone));
}

bool Sidecar::ready() const
{
    return ! stopPlan && state.configurations().routes() != nullptr && state.sourceKnown();
}

void Sidecar::logPause (Timestamp at)
{
    if (const auto pause =
            pauseWatch.check (at, SuspendedTime(), settings.timing.heartbeatInterval))
        log->write (at, EventKind::woke,
                    { { "asleep_ms", mesh::toMilliseconds (pause->pauseDuration) },
                      { "suspended_ms", mesh::toMilliseconds (pause->suspended) },
                      { "in_flight", static_cast<std::int64_t> (inFlight()) } });
}

bool Sidecar::sourceAnswers (Timestamp at) const
{
    const bool reachable = sourceStatus && sourceStatus().healthy;
    return reachable || (relay != nullptr && relay->hearsReader (at));
}

void Sidecar::advanceState (Timestamp at)
{
    for (const auto& change : state.advance (at, sourceAnswers (at)))
        logEvacuation (at, change);

    handleDirectoryChange (at);
}

void Sidecar::tick()
{
    const auto at = now();
    logPause (at);
    recordSourceAnswers();
    lastHop->tick (at);
    firstHop->tick();

    if (relay != nullptr)
        relay->tick (at);

    log->flush();

    if (at - fileCheckedAt >= fileCheckInterval)
    {
        fileCheckedAt = at;
        advanceState (at);
        checkSettingsFile();
    }

    reactor->RunAt (at + settings.timing.heartbeatInterval,
                    [weak = weak_from_this()]
                    {
                        if (const auto self = weak.lock())
                            self->tick();
                    });
}

void Sidecar::checkSettingsFile()
{
    if (settingsFile.changed())
        reload ("file changed");
}

void Sidecar::reload (std::string_view cause)
{
    if (settings.file.empty())
        return;

    settingsFile.markRead();
    const auto parsed = Resolve (
        [&] {
            return parseSidecarSettings ({ "--settings", settings.file });
        });

    if (! parsed)
        return log->write (now(), EventKind::settingsRefused,
                           { { "cause", ToString (parsed.error()) } });

    // The addresses are bound and stay. The name of the instance's service may change at runtime.
    settings.service = parsed.value().settings.service;
    firstHop->setService (settings.service);
    lastHop->setService (settings.service);
    log->write (now(), EventKind::settingsReloaded,
                { { "cause", cause }, { "service", settings.service } });
}

} // namespace copperlead::sidecar
