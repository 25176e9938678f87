/** The sidecar as a whole: the servers for clients, other nodes and readiness checks, both hops,
   and the state that they depend on. Everything runs on one reactor's thread.
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
#include "sidecar/earliest_timer.h"
#include "sidecar/hop/first_hop.h"
#include "sidecar/http/http_server.h"
#include "sidecar/instance/last_hop.h"
#include "sidecar/instance/peer_endpoint.h"
#include "sidecar/message_pools.h"
#include "sidecar/settings_file.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/sidecar_settings.h"
#include "sidecar/source/relay.h"

namespace copperlead::sidecar
{

/** The state of the configuration source as this node sees it. */
struct SourceStatus
{
    Timestamp lastSuccess{};
    bool healthy = false; /**< Reached recently and not failing. */
    Timestamp absenceDistrustedUntil{};
    mesh::SourceCallCounts calls{};
};

class Sidecar : public std::enable_shared_from_this<Sidecar>
{
public:
    Sidecar (SidecarSettings settingsToUse, std::shared_ptr<Reactor> reactorToUse,
             std::shared_ptr<DecisionLog> logToUse);
    ~Sidecar();

    /** Binds all addresses and starts the servers.
        @returns kBadAddress or kAddressInUse naming the address
    */
    Result<Done> start();

    /** Applies an update from the source, or from a node that has read it. A configuration that is
        not later than the running one is refused.
    */
    void takeUpdate (Timestamp now, mesh::MeshUpdate update);

    /** Announces an update that was read from the source to the other nodes of the zone. */
    void announceUpdate();
    void refuseConfiguration (Timestamp now, const Error& error, mesh::SourcePosition position);
    void refuseEntry (Timestamp now, const std::string& key, const Error& error);

    /** Logs an implausible value that was replaced by a cautious interpretation. */
    void reportImplausibleValue (Timestamp now, std::string_view key, std::string_view place,
                                 std::string_view value);

    /** Called when another node runs a later version, so that the source is read again. */
    std::function<void()> onLaterVersion;

    /** Starts or stops reading the source. The position is the latest known, from any origin. */
    std::function<void (bool reading, mesh::SourcePosition position, mesh::ZoneConfirmation zone)>
        setReading;
    std::function<SourceStatus()> sourceStatus;

    /** Called to list the source once, without reading it regularly, in order to find other nodes.
     */
    std::function<void()> onPeerListingRequested;

    /** Called when another node reports a later position while this node reads the source. */
    std::function<void (mesh::SourcePosition)> onLaterPosition;

    /** Sets the minimum interval between this node's calls to a failing source. */
    std::function<void (Milliseconds)> setSourceMinRetryInterval;

    /** Rereads the settings file and applies the settings that can change at runtime. */
    void reload (std::string_view cause);

    /** Begins a planned stop. `ended` is called once all work has finished, or shortly before the
        process is killed.
    */
    void stop (std::function<void()> ended);

private:
    void handleConfigurationOutcome (Timestamp now, const mesh::ConfigurationOutcome& outcome);
    void handleDirectoryChange (Timestamp now);
    void logListingOutcome (Timestamp now, const mesh::UpdateOutcome& outcome,
                            mesh::SourcePosition updated, mesh::SourcePosition known);
    void logUnlisted (Timestamp now);
    void armLapseTimer();
    void recordSourceAnswers();
    void handleReportedAnswers (Timestamp now, const mesh::AnswerPeriod& reported);
    bool sourceAnswers (Timestamp now) const;
    void advanceState (Timestamp now);
    void logEvacuation (Timestamp now, const mesh::EvacuationChange& change);
    void setServiceSettings (Timestamp now, const mesh::MeshConfiguration& configuration);
    void connectFirstHop();
    void handleRequest (const ExchangePointer& exchange);
    void answerPeer (const ExchangePointer& exchange);
    std::shared_ptr<Relay> makeRelay();
    std::optional<double> msSinceConfirmation() const;
    void answerReadiness (const ExchangePointer& exchange);
    SidecarFigures figures() const;
    void answerMetrics (const ExchangePointer& exchange);
    mesh::ClientLimits clientLimits() const;
    void refuseForMemory (const RequestHead& head, std::size_t bytes, const BufferPool& pool);
    void checkBodyLimit (Timestamp now);
    void logMemoryPlan();

    /** Records an exception that a handler didn't catch. It has ended what the handler was for: a
        connection, or one callback of a request, which then ends at its deadline.
    */
    void reportFailure (std::string_view cause);
    bool ready() const;
    void tick();
    void logPause (Timestamp at);
    void checkSettingsFile();
    void continueStop();
    std::size_t inFlight() const;
    ServerSettings serverSettings (std::function<mesh::ClientLimits()> limits,
                                   void (Sidecar::*handler) (const ExchangePointer&));
    void makeServers();

    SidecarSettings settings;
    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<DecisionLog> log;
    MessagePools pools;
    mesh::MeshState state;
    mesh::DirectoryPointer directory; /**< The snapshot last passed to the components. */
    std::shared_ptr<CrashGuard> crashGuard;
    std::shared_ptr<LastHop> lastHop;
    std::shared_ptr<BodyAdmission> bodies;
    std::shared_ptr<LinkPacer> link;
    std::shared_ptr<PeerEndpoint> peerEndpoint;
    std::shared_ptr<FirstHop> firstHop;
    std::shared_ptr<Relay> relay; /**< Null if this node always reads the source itself. */
    std::shared_ptr<HttpServer> outbound, inbound, readiness, metrics;
    std::optional<mesh::StopPlan> stopPlan; /**< Set once a stop has begun. */
    std::function<void()> onStopped;
    SettingsFile settingsFile;
    EarliestTimer lapseTimer; /**< Ends the lapses of instances in time. */
    mesh::SleepWatch pauseWatch;
    std::uint64_t entriesRefused = 0, handlerFailures = 0;
    Timestamp fileCheckedAt{};
};

} // namespace copperlead::sidecar
