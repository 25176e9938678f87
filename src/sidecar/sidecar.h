/** One sidecar, put together: the servers for clients, nodes and the readiness question, the two
    hops, and what they run by. Everything runs on one reactor's thread.
*/
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "mesh/configuration_holder.h"
#include "mesh/instance_directory.h"
#include "sidecar/decision_log.h"
#include "sidecar/first_hop.h"
#include "sidecar/http_server.h"
#include "sidecar/last_hop.h"
#include "sidecar/sidecar_settings.h"

namespace copperlead::sidecar
{

/** What the sidecar wants to know of its source. */
struct SourceStatus
{
    Timestamp lastSuccess{};
    bool listed = false;
    std::uint64_t calls = 0;
};

class Sidecar : public std::enable_shared_from_this<Sidecar>
{
public:
    Sidecar (SidecarSettings settingsToUse, std::shared_ptr<Reactor> reactorToUse,
             std::shared_ptr<DecisionLog> logToUse);
    ~Sidecar();

    /** Binds every address and starts. @returns kBadAddress or kAddressInUse naming the address */
    Result<Done> start();

    // What the source tells. A configuration that isn't later than the running one is refused.
    void takeConfiguration (Timestamp now, mesh::MeshConfiguration configuration,
                            std::uint64_t revision);
    void refuseConfiguration (Timestamp now, const Error& error, std::uint64_t revision);
    void refuseEntry (Timestamp now, const std::string& key, const Error& error);
    mesh::InstanceDirectory& directory() { return instances; }
    /** After changes to the directory. */
    void directoryChanged (Timestamp now);

    /** Another node runs a later version; asked to look at the source again. */
    std::function<void()> onBehind;
    std::function<SourceStatus()> sourceStatus;

    /** Rereads the settings file and applies what can change while running. */
    void reload (std::string_view cause);

    /** Begins a planned stop; `ended` comes once nothing is left to do, or shortly before the kill.
     */
    void stop (std::function<void()> ended);

private:
    void takeHopCall (const ExchangePointer& exchange);
    void answerReadiness (const ExchangePointer& exchange);
    void answerMetrics (const ExchangePointer& exchange);
    mesh::ClientLimits clientLimits() const;
    bool ready() const;
    void tick();
    void checkSettingsFile();
    void continueStop();
    std::size_t inFlight() const;
    std::shared_ptr<HttpServer> makeServer (std::function<mesh::ClientLimits()> limits,
                                            void (Sidecar::*handler) (const ExchangePointer&));

    SidecarSettings settings;
    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<DecisionLog> log;
    mesh::ConfigurationHolder configurations;
    mesh::InstanceDirectory instances;
    std::shared_ptr<LastHop> lastHop;
    std::shared_ptr<FirstHop> firstHop;
    std::shared_ptr<HttpServer> outbound, inbound, readiness, metrics;
    Timestamp stopAt{};
    std::function<void()> onStopped;
    std::int64_t settingsStamp = 0;
    int ticks = 0;
};

} // namespace copperlead::sidecar
