/** Distributes the source's data among the nodes. A reader sends heartbeats by datagram to its own
    zone and each time to one node of another zone; changes are sent on request over HTTP. Runs a
    ReaderRole. Runs on the reactor's thread.

    A heartbeat from another zone doesn't count towards the choice of this zone's reader. It only
    shows that later changes are available, also while the source refuses all nodes of a zone.
*/
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "mesh/mesh_update.h"
#include "mesh/peer_addresses.h"
#include "mesh/reader_role.h"
#include "mesh/receive_delay.h"
#include "mesh/source_continuity.h"
#include "mesh/source_timing.h"
#include "mesh/subscription.h"
#include "sidecar/decision_log.h"
#include "sidecar/http/http_client.h"
#include "transport/datagram_channel.h"

namespace copperlead::sidecar
{

/** Path prefix of the requests for changes between nodes; followed by the epoch and the revision
    that the requesting node has reached, and the version that it runs.
*/
inline constexpr std::string_view changesPath = "/copperlead/changes/";

struct RelaySettings
{
    std::string node;
    std::string zone;
    SocketAddress address; /**< Address for heartbeats; all nodes use the same port. */
    /** Port on which nodes accept requests for changes. */
    std::uint16_t peerPort = 0;
    int strength = 0; /**< Strength of this machine, for the rank of readers. */
    mesh::SourceTiming timing;
};

/** Functions of the node that the relay calls. */
struct RelayHooks
{
    std::function<void (Timestamp, mesh::MeshUpdate)> applyUpdate;
    std::function<void (bool reading, const mesh::ZoneConfirmation& zone)> setReading;

    /** Returns what this node's own calls have shown, to be reported to the zone. */
    std::function<mesh::ZoneConfirmation()> ownConfirmation;

    /** Returns when the source is known to have answered, to be reported to the zone. */
    std::function<mesh::AnswerPeriod()> answerPeriod;

    /** Called when another node of the zone reports when the source has answered. */
    std::function<void (Timestamp, const mesh::AnswerPeriod&)> onAnswersReported;
    /** Lists the source once more, to find peers. */
    std::function<void()> refreshListing;

    /** Called if this node reads and a peer has reported a later state than the source. */
    std::function<void()> onPeerAheadOfSource;
    std::function<bool (Timestamp)> isSourceReachable;
    /** Sets the interval of calls to a failing source. */
    std::function<void (Milliseconds)> setMinRetryInterval;
};

/** Counters since the process started. */
struct RelayCounters
{
    std::uint64_t heartbeatsSent = 0, heartbeatsReceived = 0, pulls = 0, failedPulls = 0,
                  roleChanges = 0;
    /** Pulls from a node of another zone. */
    std::uint64_t pullsFromOtherZones = 0;
    std::uint64_t subscriptionsSent = 0, subscriptionsReceived = 0;
};

class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay (std::shared_ptr<Reactor> reactorToUse, RelaySettings settingsToUse,
           RelayHooks hooksToUse, std::shared_ptr<DecisionLog> logToUse);
    ~Relay();

    /** @returns kBadAddress or kAddressInUse naming the address */
    Result<Done> start();

    /** @param isListed  whether this node is listed, so that the readers know it */
    void setPeers (Timestamp now, mesh::PeerAddresses peersToUse, bool isListed);

    /** Reports the source position that this node has reached and the version that it runs. */
    void positionReached (Timestamp now, mesh::SourcePosition at, std::uint64_t version);

    /** Reports that another node's answer showed a later version. The changes are requested from
        that node, which takes a few kilobytes, whereas the source would send the whole
        configuration.
    */
    void recordVersion (std::uint64_t version, const std::string& ip);

    /** Reports that the source has sent changes. A reader announces them to its zone at once. So
        does a strong node that has just started, since others that start with it wait for that.
    */
    void announce();

    /** Has to be called several times a second. */
    void tick (Timestamp now);

    /** Ends this node's reading for a planned stop, so that another node takes over. */
    void resign();

    /** Requests the whole configuration next, since the node can't apply differences. */
    void requestFullUpdate() { needsFullUpdate = true; }

    bool reading() const { return role.reading(); }
    Timestamp upToDateAt() const { return role.lastUpToDate(); }

    /** True if the zone has a reader that reaches the source, and this node is up to date with it.
     */
    bool hearsReader (Timestamp now) const { return role.hearsReader (now); }

    /** Time up to which no change of the source is missing here, by what readers have reported. */
    Timestamp confirmedAt() const { return role.confirmation().confirmedAt; }
    const RelayCounters& counters() const { return counts; }

private:
    void onDatagram (const SocketAddress& from, std::string_view datagram);
    void pullChanges (const std::string& ip);
    void onChangesReceived (const CallResult& result, bool otherZone);
    bool isZonePeer (const std::string& ip) const;
    void onHeartbeat (const std::string& ip, mesh::ReaderHeartbeat heartbeat);
    void reportAnswers (Timestamp now, const mesh::ReaderHeartbeat& heartbeat);
    void subscribe (Timestamp now);
    void onSubscription (const std::string& from, const mesh::Subscription& subscription);
    void send (const mesh::OutgoingSubscriptions& subscriptionsToSend);
    void sendHeartbeats (bool healthy);

    /** Reports a change to the zone, and once more in case the first heartbeat is lost. */
    void announceNow();

    /** Repeatedly reports to the zone what this node listed at its start. Otherwise a node that
        starts slightly later, or whose datagram is lost, would list the store itself, which takes
        long over a slow link.
    */
    void repeatOffer (Timestamp until);
    void sendToZone (bool healthy, bool reads);
    std::string encodeHeartbeat (bool healthy, bool reads) const;
    void sendHeartbeat (const std::string& ip, const std::string& bytes);
    void updateRole (Timestamp now);
    Milliseconds minHeartbeatInterval() const;

    std::shared_ptr<Reactor> reactor;
    RelaySettings settings;
    RelayHooks hooks;
    std::shared_ptr<DecisionLog> log;
    mesh::ReaderRole role;
    std::minstd_rand random;
    std::shared_ptr<HttpClient> client;
    TransportCounters datagramCounters;
    std::unique_ptr<DatagramChannel> channel;
    RelayCounters counts;
    mesh::PeerAddresses peers;
    mesh::Subscriptions subscriptions;
    mesh::ReceiveDelay receiveDelay; /**< Of heartbeats. */
    /** Whether the instance beside this node is listed. */
    bool listed = false;
    mesh::SourcePosition ownPosition;
    std::uint64_t ownVersion = 0;
    Timestamp lastHeartbeatAt{};
    /** The health that the last heartbeat reported. */
    bool reportedHealthy = false;
    /** Whether a heartbeat is due as soon as the minimum interval allows. */
    bool announcementPending = false;
    bool pullInProgress = false, needsFullUpdate = false, resigned = false, wasReading = false;
    /** Whether repeatOffer() has been called. */
    bool offerStarted = false;
    /** Whether a position has been reached, from the source or a peer. */
    bool hadPosition = false;
};

} // namespace copperlead::sidecar
