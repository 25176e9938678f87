/** Passes what the source told between the nodes: beats of the readers by datagram to their own
   zone and each time to one node elsewhere, changes on request over HTTP. Runs a ReaderRole. Of the
    reactor's thread.

    A beat from elsewhere says nothing of who reads for this zone; it only tells that something
    later is to be had, also while the source turns a whole zone away.
*/
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "mesh/mesh_update.h"
#include "mesh/peer_addresses.h"
#include "mesh/reader_role.h"
#include "mesh/subscription.h"
#include "sidecar/decision_log.h"
#include "sidecar/http/http_client.h"
#include "transport/datagram_channel.h"

namespace copperlead::sidecar
{

/** Path prefix of the requests for changes between nodes; followed by the epoch and the revision
   that the asking node has reached, and the version that it runs.
*/
inline constexpr std::string_view changesPath = "/copperlead/changes/";

struct RelaySettings
{
    std::string node;
    std::string zone;
    SocketAddress address;      /**< For beats; all nodes use the same port. */
    std::uint16_t peerPort = 0; /**< On which nodes take requests for changes. */
    int strength = 0;           /**< Of this machine, for the readers' rank. */
};

/** What the relay needs of its node. */
struct RelayHooks
{
    std::function<void (Timestamp, mesh::MeshUpdate)> take;
    std::function<void (bool reading)> setReading;
    std::function<void()> look;      /**< List the source once more, for peers. */
    std::function<void()> overtaken; /**< This node reads, and another told more than the source. */
    std::function<bool (Timestamp)> sourceSound;
    std::function<void (Milliseconds)> setTryInterval; /**< Of calls to a failing source. */
};

/** Counted since the start. */
struct RelayCounters
{
    std::uint64_t beatsSent = 0, beatsHeard = 0, pulls = 0, failedPulls = 0, roleChanges = 0;
    std::uint64_t pullsElsewhere = 0; /**< Of the pulls: from a node of another zone. */
    std::uint64_t subscriptionsSent = 0, subscriptionsTaken = 0;
};

class Relay : public std::enable_shared_from_this<Relay>
{
public:
    Relay (std::shared_ptr<Reactor> reactorToUse, RelaySettings settingsToUse,
           RelayHooks hooksToUse, std::shared_ptr<DecisionLog> logToUse);
    ~Relay();

    /** @returns kBadAddress or kAddressInUse naming the address */
    Result<Done> start();

    /** @param isListed  this node is, so that the readers know it */
    void setPeers (Timestamp now, mesh::PeerAddresses peersToUse, bool isListed);

    /** This node has reached this position of the source and runs this version. */
    void reached (Timestamp now, mesh::SourcePosition at, std::uint64_t version);

    /** Another node's answer showed that it runs a later version: its changes are asked of it,
       which takes a few kilobytes where the source would send the whole configuration.
    */
    void sawVersion (std::uint64_t version, const std::string& ip);

    /** The source told of changes: the zone hears of it at once, from its reader; from a strong
        node that has just started, too, since others that start with it wait for that.
    */
    void announce();

    /** To be called some times a second. */
    void tick (Timestamp now);

    /** A planned stop: another node is to read from now on. */
    void resign();

    /** The node can't use differences; asks for everything next. */
    void wantWhole() { wantsWhole = true; }

    bool reading() const { return role.reading(); }
    Timestamp upToDateAt() const { return role.satisfiedAt(); }
    const RelayCounters& counters() const { return counts; }

private:
    void hear (const SocketAddress& from, std::string_view datagram);
    void pull (const std::string& ip);
    void onPulled (const CallResult& result, bool elsewhere);
    bool isZonePeer (const std::string& ip) const;
    void hearBeat (const std::string& ip, const mesh::ReaderBeat& beat);
    void subscribe (Timestamp now);
    void takeSubscription (const std::string& from, const mesh::Subscription& subscription);
    void send (const mesh::SubscriptionSendings& sendings);
    void beat (bool sound);

    /** Tells the zone what this node listed at its start, again and again: a node that starts a
        moment later, or whose datagram is lost, would list the store itself, which takes it long
        over a narrow link.
    */
    void offer (Timestamp until);
    void tellZone (bool sound, bool reads);
    std::string beatBytes (bool sound, bool reads) const;
    void sendBeat (const std::string& ip, const std::string& bytes);
    void applyRole (Timestamp now);
    Milliseconds shortestInterval() const;

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
    bool listed = false; /**< The instance beside this node is. */
    mesh::SourcePosition ownAt;
    std::uint64_t ownVersion = 0;
    Timestamp beatAt{};
    bool saidSound = false;  /**< In the last beat. */
    bool announcing = false; /**< A beat is due as soon as the shortest interval allows. */
    bool pulling = false, wantsWhole = false, resigned = false, wasReading = false;
    bool offered = false;     /**< Whether offer() was begun. */
    bool reachedOnce = false; /**< Something is known, by whatever way. */
};

} // namespace copperlead::sidecar
