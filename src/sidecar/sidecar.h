/** One sidecar, put together: the servers for clients, nodes and the readiness question, the two
    hops, and what they run by. Everything runs on one reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "mesh/mesh_state.h"
#include "mesh/sleep_watch.h"
#include "mesh/source_follower.h"
#include "mesh/stop_plan.h"
#include "sidecar/decision_log.h"
#include "sidecar/hop/first_hop.h"
#include "sidecar/http/http_server.h"
#include "sidecar/instance/last_hop.h"
#include "sidecar/instance/peer_endpoint.h"
#include "sidecar/settings_file.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/source/relay.h"

namespace copperlead::sidecar
{

/** What the sidecar wants to know of its source. */
struct SourceStatus
{
    Timestamp lastSuccess{};
    bool sound = false; /**< Reached lately, and not failing. */
    mesh::SourceCallCounts calls{};
};

class Sidecar : public std::enable_shared_from_this<Sidecar>
{
public:
    Sidecar (SidecarSettings settingsToUse, std::shared_ptr<Reactor> reactorToUse,
             std::shared_ptr<DecisionLog> logToUse);
    ~Sidecar();

    /** Binds every address and starts. @returns kBadAddress or kAddressInUse naming the address */
    Result<Done> start();

    /** Takes what the source told, or a node that has read it. A configuration that isn't later
       than the running one is refused.
    */
    void takeUpdate (Timestamp now, mesh::MeshUpdate update);

    /** After an update from the source itself: the zone's other nodes may want it. */
    void announceUpdate();
    void refuseConfiguration (Timestamp now, const Error& error, mesh::SourcePosition position);
    void refuseEntry (Timestamp now, const std::string& key, const Error& error);

    /** A value could not be meant; the careful reading was taken instead. */
    void doubtValue (Timestamp now, std::string_view key, std::string_view place,
                     std::string_view value);

    /** Another node runs a later version; asked to look at the source again. */
    std::function<void()> onBehind;

    /** Whether to read the source, and the position that was reached by other means. */
    std::function<void (bool reading, mesh::SourcePosition position)> setReading;
    std::function<SourceStatus()> sourceStatus;

    /** Other nodes are looked for: asked to list the source once more without reading it. */
    std::function<void()> onLook;

    /** This node reads the source, and another node has reported a later position. */
    std::function<void (mesh::SourcePosition)> onOvertaken;

    /** How far apart this node's calls to a failing source are at least. */
    std::function<void (Milliseconds)> setSourceTryInterval;

    /** Rereads the settings file and applies what can change while running. */
    void reload (std::string_view cause);

    /** Begins a planned stop; `ended` comes once nothing is left to do, or shortly before the kill.
     */
    void stop (std::function<void()> ended);

private:
    void followConfiguration (Timestamp now, const mesh::ConfigurationOutcome& outcome);
    void directoryChanged (Timestamp now);
    void logListingOutcome (Timestamp now, const mesh::UpdateOutcome& outcome,
                            mesh::SourcePosition updated, mesh::SourcePosition known);
    void logEvacuation (Timestamp now, const mesh::EvacuationChange& change);
    void setServiceSettings (Timestamp now, const mesh::MeshConfiguration& configuration);
    void connectFirstHop();
    void takeRequest (const ExchangePointer& exchange);
    void answerPeer (const ExchangePointer& exchange);
    std::shared_ptr<Relay> makeRelay();
    std::optional<double> wordAgeMs() const;
    void answerReadiness (const ExchangePointer& exchange);
    SidecarFigures figures() const;
    void answerMetrics (const ExchangePointer& exchange);
    mesh::ClientLimits clientLimits() const;
    bool ready() const;
    void tick();
    void logSleep (Timestamp at);
    void checkSettingsFile();
    void continueStop();
    std::size_t inFlight() const;
    ServerSettings serverSettings (std::function<mesh::ClientLimits()> limits,
                                   void (Sidecar::*handler) (const ExchangePointer&));
    void makeServers();

    SidecarSettings settings;
    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<DecisionLog> log;
    mesh::MeshState state;
    mesh::DirectoryPointer directory; /**< That the parts were last told of. */
    std::shared_ptr<CrashGuard> crashGuard;
    std::shared_ptr<LastHop> lastHop;
    std::shared_ptr<BodyAdmission> bodies;
    std::shared_ptr<LinkPacer> link;
    std::shared_ptr<PeerEndpoint> peerEndpoint;
    std::shared_ptr<FirstHop> firstHop;
    std::shared_ptr<Relay> relay; /**< Null when this node reads alone. */
    std::shared_ptr<HttpServer> outbound, inbound, readiness, metrics;
    std::optional<mesh::StopPlan> stopPlan; /**< Once a stop has begun. */
    std::function<void()> onStopped;
    SettingsFile settingsFile;
    mesh::SleepWatch sleepWatch;
    std::uint64_t entriesRefused = 0;
    int ticks = 0;
};

} // namespace copperlead::sidecar
