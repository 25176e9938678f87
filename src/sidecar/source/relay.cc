#include "sidecar/source/relay.h"

#include <xxhash.h>

#include <algorithm>

#include "mesh/reader_beat_codec.h"
#include "sidecar/http/messages.h"
#include "sidecar/http/sockets.h"

namespace copperlead::sidecar
{
namespace
{

constexpr Milliseconds pullTimeout{ 500 };
constexpr Milliseconds catchUpTime{ 100 };      // A zone's beat takes 20 to 50 ms.
constexpr Milliseconds unsoundInterval{ 1000 }; // In an outage every node of the zone may beat.
// Between two beats: each change costs a reader one datagram and one answer for each peer.
constexpr Milliseconds leastInterval{ 20 }, intervalPerPeer{ 2 };
// Nodes that are started together come up within some 100 ms, and a datagram may be lost. By then
// one of them reads and beats.
constexpr Milliseconds offerInterval{ 100 }, offerTime{ 1000 };

ClientSettings pullClientSettings()
{
    ClientSettings settings;
    settings.connectTimeout = Milliseconds (300);
    settings.idleTime = Milliseconds (10'000);
    settings.mostIdle = 1;
    return settings;
}

mesh::ReaderRank rankOf (const RelaySettings& settings)
{
    return { settings.strength, XXH3_64bits (settings.node.data(), settings.node.size()) };
}

mesh::ReaderRoleSettings roleSettings()
{
    mesh::ReaderRoleSettings settings;
    settings.mayLook = true;
    return settings;
}

} // namespace

Relay::Relay (std::shared_ptr<Reactor> reactorToUse, RelaySettings settingsToUse,
              RelayHooks hooksToUse, std::shared_ptr<DecisionLog> logToUse)
    : reactor (std::move (reactorToUse))
    , settings (std::move (settingsToUse))
    , hooks (std::move (hooksToUse))
    , log (std::move (logToUse))
    , role (settings.node, rankOf (settings), roleSettings(), rankOf (settings).hash)
    , random (static_cast<std::minstd_rand::result_type> (rankOf (settings).hash))
    , client (std::make_shared<HttpClient> (reactor, pullClientSettings()))
    , subscriptions (rankOf (settings).hash)
{
}

Relay::~Relay()
{
    client->dropAllIdle();

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
                self->hear (from, datagram);
        });
    channel->Open();
    return Done{};
}

void Relay::hear (const SocketAddress& from, std::string_view datagram)
{
    if (const auto beat = mesh::decodeReaderBeat (datagram))
        return hearBeat (from.ip, *beat);

    if (const auto subscription = mesh::decodeSubscription (datagram))
        takeSubscription (from.ip, *subscription);
}

void Relay::hearBeat (const std::string& ip, const mesh::ReaderBeat& beat)
{
    const auto now = SteadyClock().Now();
    ++counts.beatsHeard;
    const bool elsewhere = beat.zone != settings.zone;

    if (! elsewhere && beat.reads)
    {
        role.heard (now, beat);
        // Stepping down at once keeps a zone that starts together from all its nodes' beats.
        applyRole (now);
    }

    if (! elsewhere && beat.reads && beat.sound)
        send (subscriptions.heardReader (now, ip, role.reading()));

    // Also from one that can't read on: what it has is later than what this node has.
    if (beat.at > ownAt || beat.version > ownVersion)
        pull (ip);
}

void Relay::pull (const std::string& ip)
{
    if (pulling)
        return;

    const bool elsewhere = ! isZonePeer (ip);
    pulling = true;
    ++counts.pulls;
    counts.pullsElsewhere += elsewhere ? 1 : 0;
    const auto version = std::exchange (wantsWhole, false) ? 0 : ownVersion;
    const auto target = std::string (changesPath) + std::to_string (ownAt.epoch) + "/" +
                        std::to_string (ownAt.revision) + "/" + std::to_string (version);
    CallOptions options;
    options.deadline = SteadyClock().Now() + pullTimeout;
    const HeaderFields fields{ { "Host", ip } };
    client->send ({ ip, settings.peerPort }, requestMessage ("GET", target, fields, {}), options,
                  [weak = weak_from_this(), elsewhere] (const CallResult& result)
                  {
                      if (const auto self = weak.lock())
                          self->onPulled (result, elsewhere);
                  });
}

void Relay::onPulled (const CallResult& result, bool elsewhere)
{
    pulling = false;
    mesh::MeshUpdate update;
    const auto taken = Resolve (
        [&]() -> Result<Done>
        {
            if (result.end != CallEnd::answered || result.head.status != 200)
                return Fail (ErrorKind::kUnreachable, "changes", result.cause);

            BOOST_LEAF_ASSIGN (update, mesh::decodeMeshUpdate (result.body));
            return Done{};
        });

    if (! taken)
    {
        ++counts.failedPulls;
        return;
    }

    const auto now = SteadyClock().Now();
    const bool wasLate = role.seenLaterFor (now) >= catchUpTime;
    hooks.take (now, std::move (update));

    if (wasLate && role.reading())
        hooks.overtaken();

    // The source didn't tell it, so nobody else of the zone may have it.
    if (elsewhere && role.reading() && ! hooks.sourceSound (now))
        beat (false);
}

void Relay::reached (Timestamp now, mesh::SourcePosition at, std::uint64_t version)
{
    ownAt = std::max (ownAt, at);
    ownVersion = std::max (ownVersion, version);
    role.reached (now, ownAt, ownVersion);

    // Of what a peer told, nothing needs to be listed again.
    if (ownAt.isKnown() && ! std::exchange (reachedOnce, true) && ! role.reading())
        hooks.setReading (false);
}

void Relay::setPeers (Timestamp now, mesh::PeerAddresses peersToUse, bool isListed)
{
    peers = std::move (peersToUse);
    listed = isListed;
    role.setZonePeers (peers.inZone.size());

    if (listed)
        return role.listed (now);

    role.unlisted();
    subscribe (now);
}

void Relay::sawVersion (std::uint64_t version, const std::string& ip)
{
    const auto now = SteadyClock().Now();
    role.sawVersion (now, version);

    if (role.seenLaterFor (now) >= catchUpTime)
        pull (ip);
}

bool Relay::isZonePeer (const std::string& ip) const
{
    return std::binary_search (peers.inZone.begin(), peers.inZone.end(), ip);
}

void Relay::announce()
{
    const auto now = SteadyClock().Now();
    const auto due = beatAt + shortestInterval();

    if (! std::exchange (offered, true))
        offer (now + offerTime);

    if (announcing || ! role.reading() || ! hooks.sourceSound (now))
        return;

    if (now >= due)
        return beat (true);

    announcing = true;
    reactor->RunAt (due,
                    [weak = weak_from_this()]
                    {
                        const auto self = weak.lock();

                        if (self == nullptr)
                            return;

                        self->announcing = false;
                        self->announce();
                    });
}

Milliseconds Relay::shortestInterval() const
{
    return std::max (leastInterval, intervalPerPeer * std::int64_t (peers.inZone.size()));
}

void Relay::beat (bool sound)
{
    if (resigned && sound)
        return;

    beatAt = SteadyClock().Now();
    saidSound = sound;
    tellZone (sound, true);

    if (peers.elsewhere.empty())
        return;

    std::uniform_int_distribution<std::size_t> any (0, peers.elsewhere.size() - 1);
    sendBeat (peers.elsewhere[any (random)], beatBytes (sound, true));
}

void Relay::offer (Timestamp until)
{
    const auto now = SteadyClock().Now();
    const bool hasReader = role.reading() || role.satisfiedAt() != Timestamp{};

    if (settings.strength < mesh::topStrength || hasReader || resigned || now > until)
        return;

    if (ownVersion > 0)
        tellZone (false, false);

    reactor->RunAt (now + offerInterval,
                    [weak = weak_from_this(), until]
                    {
                        if (const auto self = weak.lock())
                            self->offer (until);
                    });
}

void Relay::tellZone (bool sound, bool reads)
{
    const auto bytes = beatBytes (sound, reads);

    for (const auto& ip : peers.inZone)
        sendBeat (ip, bytes);

    if (! reads)
        return;

    for (const auto& ip : subscriptions.subscribers (SteadyClock().Now()))
        if (! isZonePeer (ip))
            sendBeat (ip, bytes);
}

std::string Relay::beatBytes (bool sound, bool reads) const
{
    return mesh::encode (mesh::ReaderBeat{ settings.node, settings.zone, rankOf (settings), ownAt,
                                           ownVersion, sound, reads });
}

void Relay::sendBeat (const std::string& ip, const std::string& bytes)
{
    ++counts.beatsSent;
    channel->Send ({ ip, settings.address.port }, bytes);
}

void Relay::applyRole (Timestamp now)
{
    const bool reading = role.decide (now, hooks.sourceSound (now));
    hooks.setTryInterval (role.tryInterval (now));

    if (role.takeLook())
        hooks.look();

    if (reading != wasReading)
    {
        wasReading = reading;
        ++counts.roleChanges;
        log->write (now, EventKind::roleChanged,
                    { { "reading", reading ? "yes" : "no" },
                      { "epoch", static_cast<std::int64_t> (ownAt.epoch) },
                      { "revision", static_cast<std::int64_t> (ownAt.revision) },
                      { "version", static_cast<std::int64_t> (ownVersion) } });
        hooks.setReading (reading);
    }
}

void Relay::tick (Timestamp now)
{
    applyRole (now);
    subscribe (now);

    if (! role.reading())
        return;

    const bool sound = hooks.sourceSound (now);
    // That it can't read on is news once; later it only helps nodes that have just started.
    const auto interval = sound       ? mesh::ReaderRoleSettings{}.beatInterval
                          : saidSound ? Milliseconds (0)
                                      : std::max (unsoundInterval, role.tryInterval (now));

    if (now - beatAt >= interval)
        beat (sound);
}

void Relay::resign()
{
    if (role.reading())
        beat (false);

    resigned = true;
}

} // namespace copperlead::sidecar
