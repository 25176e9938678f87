#include "sidecar/source/relay.h"

#include <xxhash.h>

#include <algorithm>

#include "mesh/memory_plan.h"
#include "mesh/reader_heartbeat_codec.h"
#include "sidecar/http/messages.h"
#include "sidecar/http/sockets.h"

namespace copperlead::sidecar
{
namespace
{

// Time for which a node may lag behind another one before it requests changes: heartbeats take 20
// to 50 ms to reach a zone.
constexpr Milliseconds catchUpTime{ 100 };

// During an outage every node of the zone may send heartbeats, so they are sent less often.
constexpr Milliseconds unhealthyInterval{ 1000 };

// Minimum time between heartbeats: each change costs a reader one datagram and one answer per peer.
constexpr Milliseconds minInterval{ 20 }, intervalPerPeer{ 2 };

// Nodes that are started together are running within about 100 ms of each other, and a datagram may
// be lost. By the end of this time one of them reads and sends heartbeats.
constexpr Milliseconds offerInterval{ 100 }, offerDuration{ 1000 };

ClientSettings pullClientSettings()
{
    ClientSettings settings;
    settings.connectTimeout = Milliseconds (300);
    settings.idleTime = Milliseconds (10'000);
    settings.maxIdlePerTarget = 1;
    settings.maxAnswerBytes = mesh::maxSourceAnswerBytes;
    return settings;
}

mesh::ReaderRank rankOf (const RelaySettings& settings)
{
    return { settings.strength, XXH3_64bits (settings.node.data(), settings.node.size()) };
}

mesh::ReaderRoleSettings roleSettings (const mesh::SourceTiming& timing)
{
    mesh::ReaderRoleSettings settings;
    settings.heartbeatInterval = timing.heartbeatInterval;
    settings.readerTimeout = timing.readerTimeout;
    settings.readerTimeoutSpread = timing.readerTimeoutSpread;
    settings.canListPeers = true;
    return settings;
}

} // namespace

Relay::Relay (std::shared_ptr<Reactor> reactorToUse, RelaySettings settingsToUse,
              RelayHooks hooksToUse, std::shared_ptr<DecisionLog> logToUse)
    : reactor (std::move (reactorToUse))
    , settings (std::move (settingsToUse))
    , hooks (std::move (hooksToUse))
    , log (std::move (logToUse))
    , role (settings.node, rankOf (settings), roleSettings (settings.timing),
            rankOf (settings).hash)
    , random (static_cast<std::minstd_rand::result_type> (rankOf (settings).hash))
    , client (std::make_shared<HttpClient> (reactor, pullClientSettings()))
    , subscriptions (rankOf (settings).hash)
    , receiveDelay (settings.timing.heartbeatInterval)
{
}

Relay::~Relay()
{
    client->closeAllIdleConnections();

    if (channel != nullptr)
        channel->Close();
}

Result<Done> Relay::start()
{
    BOOST_LEAF_AUTO (socket, bindDatagram (settings.address));
    channel = std::make_unique<DatagramChannel> (
        *reactor, std::move (socket), datagramCounters,
        [weak = weak_from_this()] (const SocketAddress& from, std::string_view datagram)
        {
            if (const auto self = weak.lock())
                self->onDatagram (from, datagram);
        });
    channel->Open();
    return Done{};
}

void Relay::onDatagram (const SocketAddress& from, std::string_view datagram)
{
    if (auto heartbeat = mesh::decodeReaderHeartbeat (datagram))
        return onHeartbeat (from.ip, std::move (*heartbeat));

    if (const auto subscription = mesh::decodeSubscription (datagram))
        onSubscription (from.ip, *subscription);
}

void Relay::onHeartbeat (const std::string& ip, mesh::ReaderHeartbeat heartbeat)
{
    const auto now = SteadyClock().Now();
    ++counts.heartbeatsReceived;
    heartbeat.confirmationAge += std::chrono::ceil<Milliseconds> (receiveDelay.longest (now));
    const bool otherZone = heartbeat.zone != settings.zone;

    if (! otherZone && heartbeat.reads)
    {
        role.heartbeatReceived (now, heartbeat);
        reportAnswers (now, heartbeat);
        // The role is updated at once, so that the nodes of a zone that start together don't all
        // send heartbeats.
        updateRole (now);
    }

    if (! otherZone && heartbeat.reads && heartbeat.healthy)
        send (subscriptions.onReaderHeartbeat (now, ip, role.reading()));

    // This includes readers that can't reach the source, since their data is later than this
    // node's.
    if (heartbeat.position > ownPosition || heartbeat.version > ownVersion)
        pullChanges (ip);
}

void Relay::reportAnswers (Timestamp now, const mesh::ReaderHeartbeat& heartbeat)
{
    if (! heartbeat.healthy)
        return;

    // A node of an earlier release reports only its last answer.
    const auto age = std::max (heartbeat.answeringAge, heartbeat.confirmationAge);
    hooks.onAnswersReported (now, { now - age, now - heartbeat.confirmationAge });
}

void Relay::pullChanges (const std::string& ip)
{
    if (pullInProgress)
        return;

    const bool otherZone = ! isZonePeer (ip);
    pullInProgress = true;
    ++counts.pulls;
    counts.pullsFromOtherZones += otherZone ? 1 : 0;
    const auto version = std::exchange (needsFullUpdate, false) ? 0 : ownVersion;
    const auto target = std::string (changesPath) + std::to_string (ownPosition.epoch) + "/" +
                        std::to_string (ownPosition.revision) + "/" + std::to_string (version);
    CallOptions options;
    options.deadline = SteadyClock().Now() + settings.timing.pullTimeout;
    const HeaderFields fields{ { "Host", ip } };
    client->send ({ ip, settings.peerPort }, requestMessage ("GET", target, fields, {}), options,
                  [weak = weak_from_this(), otherZone] (const CallResult& result)
                  {
                      if (const auto self = weak.lock())
                          self->onChangesReceived (result, otherZone);
                  });
}

void Relay::onChangesReceived (const CallResult& result, bool otherZone)
{
    pullInProgress = false;
    mesh::MeshUpdate update;
    const auto decoded = Resolve (
        [&]() -> Result<Done>
        {
            if (result.end != CallEnd::answered || result.head.status != 200)
                return Fail (ErrorKind::kUnreachable, "changes", result.cause);

            BOOST_LEAF_ASSIGN (update, mesh::decodeMeshUpdate (result.body.bytes()));
            return Done{};
        });

    if (! decoded)
    {
        ++counts.failedPulls;
        return;
    }

    const auto now = SteadyClock().Now();
    const bool wasBehind = role.laterVersionSeenFor (now) >= catchUpTime;
    hooks.applyUpdate (now, std::move (update));

    if (wasBehind && role.reading())
        hooks.onPeerAheadOfSource();

    // The changes didn't come from the source, so other nodes of the zone may lack them.
    if (otherZone && role.reading() && ! hooks.isSourceReachable (now))
        sendHeartbeats (false);
}

void Relay::positionReached (Timestamp now, mesh::SourcePosition at, std::uint64_t version)
{
    ownPosition = std::max (ownPosition, at);
    ownVersion = std::max (ownVersion, version);
    role.positionReached (now, ownPosition, ownVersion);

    // What a peer has sent doesn't need to be listed again.
    if (ownPosition.isKnown() && ! std::exchange (hadPosition, true) && ! role.reading())
        hooks.setReading (false, role.confirmation());
}

void Relay::setPeers (Timestamp now, mesh::PeerAddresses peersToUse, bool isListed)
{
    peers = std::move (peersToUse);
    listed = isListed;
    role.setZonePeers (peers.sameZone.size());

    if (listed)
        return role.listed (now);

    role.unlisted();
    subscribe (now);
}

void Relay::recordVersion (std::uint64_t version, const std::string& ip)
{
    const auto now = SteadyClock().Now();
    role.recordVersion (now, version);

    if (role.laterVersionSeenFor (now) >= catchUpTime)
        pullChanges (ip);
}

bool Relay::isZonePeer (const std::string& ip) const
{
    return std::binary_search (peers.sameZone.begin(), peers.sameZone.end(), ip);
}

void Relay::announce()
{
    const auto now = SteadyClock().Now();
    const auto due = lastHeartbeatAt + minHeartbeatInterval();

    if (! std::exchange (offerStarted, true))
        repeatOffer (now + offerDuration);

    if (announcementPending || ! role.reading() || ! hooks.isSourceReachable (now))
        return;

    if (now >= due)
        return announceNow();

    announcementPending = true;
    reactor->RunAt (due,
                    [weak = weak_from_this()]
                    {
                        const auto self = weak.lock();

                        if (self == nullptr)
                            return;

                        self->announcementPending = false;
                        self->announce();
                    });
}

Milliseconds Relay::minHeartbeatInterval() const
{
    const auto forPeers = intervalPerPeer * std::int64_t (peers.sameZone.size());
    return std::min (std::max (minInterval, forPeers), settings.timing.announcementDelay);
}

void Relay::announceNow()
{
    sendHeartbeats (true);
    reactor->RunAt (lastHeartbeatAt + settings.timing.repetitionDelay,
                    [weak = weak_from_this(), sentAt = lastHeartbeatAt]
                    {
                        const auto self = weak.lock();

                        if (self != nullptr && self->lastHeartbeatAt == sentAt &&
                            self->role.reading() && self->reportedHealthy)
                            self->sendHeartbeats (true);
                    });
}

void Relay::sendHeartbeats (bool healthy)
{
    if (resigned && healthy)
        return;

    lastHeartbeatAt = SteadyClock().Now();
    reportedHealthy = healthy;
    sendToZone (healthy, true);

    if (peers.otherZones.empty())
        return;

    std::uniform_int_distribution<std::size_t> any (0, peers.otherZones.size() - 1);
    sendHeartbeat (peers.otherZones[any (random)], encodeHeartbeat (healthy, true));
}

void Relay::repeatOffer (Timestamp until)
{
    const auto now = SteadyClock().Now();
    const bool hasReader = role.reading() || role.lastUpToDate() != Timestamp{};

    if (settings.strength < mesh::maxMachineStrength || hasReader || resigned || now > until)
        return;

    if (ownVersion > 0)
        sendToZone (false, false);

    reactor->RunAt (now + offerInterval,
                    [weak = weak_from_this(), until]
                    {
                        if (const auto self = weak.lock())
                            self->repeatOffer (until);
                    });
}

void Relay::sendToZone (bool healthy, bool reads)
{
    const auto bytes = encodeHeartbeat (healthy, reads);

    for (const auto& ip : peers.sameZone)
        sendHeartbeat (ip, bytes);

    if (! reads)
        return;

    for (const auto& ip : subscriptions.subscribers (SteadyClock().Now()))
        if (! isZonePeer (ip))
            sendHeartbeat (ip, bytes);
}

std::string Relay::encodeHeartbeat (bool healthy, bool reads) const
{
    mesh::ReaderHeartbeat heartbeat{ settings.node, settings.zone, rankOf (settings),
                                     ownPosition,   ownVersion,    healthy,
                                     reads };

    if (healthy)
    {
        const auto now = SteadyClock().Now();
        const auto [confirmedAt, distrustedUntil] = hooks.ownConfirmation();
        heartbeat.confirmationAge = std::chrono::ceil<Milliseconds> (now - confirmedAt);
        heartbeat.absenceGrace =
            std::chrono::ceil<Milliseconds> (std::max (Duration (0), distrustedUntil - now));

        if (const auto period = hooks.answerPeriod(); period.isKnown())
            heartbeat.answeringAge = std::chrono::floor<Milliseconds> (now - period.since);
    }

    return mesh::encode (heartbeat);
}

void Relay::sendHeartbeat (const std::string& ip, const std::string& bytes)
{
    ++counts.heartbeatsSent;
    channel->Send ({ ip, settings.address.port }, bytes);
}

void Relay::updateRole (Timestamp now)
{
    const bool reading = role.decide (now, hooks.isSourceReachable (now));
    hooks.setMinRetryInterval (role.minRetryInterval (now));

    if (role.takePeerListingRequest())
        hooks.refreshListing();

    if (reading != wasReading)
    {
        wasReading = reading;
        ++counts.roleChanges;
        log->write (now, EventKind::roleChanged,
                    { { "reading", reading ? "yes" : "no" },
                      { "epoch", static_cast<std::int64_t> (ownPosition.epoch) },
                      { "revision", static_cast<std::int64_t> (ownPosition.revision) },
                      { "version", static_cast<std::int64_t> (ownVersion) } });
        hooks.setReading (reading, role.confirmation());
    }
}

void Relay::tick (Timestamp now)
{
    receiveDelay.recordActivity (now);
    updateRole (now);
    subscribe (now);

    if (! role.reading())
        return;

    const bool healthy = hooks.isSourceReachable (now);
    // A loss of the source is reported at once; repetitions only help nodes that have just started.
    const auto interval = healthy ? settings.timing.heartbeatInterval
                          : reportedHealthy
                              ? Milliseconds (0)
                              : std::max (unhealthyInterval, role.minRetryInterval (now));

    if (now - lastHeartbeatAt >= interval)
        sendHeartbeats (healthy);
}

void Relay::resign()
{
    if (role.reading())
        sendHeartbeats (false);

    resigned = true;
}

} // namespace copperlead::sidecar
