/** Settings, entries and calls for the tests of the last hop. */
#pragma once

#include <unistd.h>

#include <memory>
#include <string>

#include "sidecar/instance/last_hop.h"

namespace copperlead::sidecar
{

/** Settings for an instance of `desk`, with short names of the header fields. */
inline LastHopSettings settingsBeside (const SocketAddress& instanceAddress)
{
    LastHopSettings settings;
    settings.names.requestId = "X-Id";
    settings.names.signature = "X-Signature";
    settings.names.instanceId = "X-Instance";
    settings.instanceAddress = instanceAddress;
    settings.service = "desk";
    return settings;
}

inline std::shared_ptr<LastHop> makeLastHop (const std::shared_ptr<Reactor>& reactor,
                                             const LastHopSettings& settings)
{
    return std::make_shared<LastHop> (reactor, settings,
                                      std::make_shared<DecisionLog> ("n", STDERR_FILENO));
}

/** An instance of `desk` whose entry was created at a revision. */
inline mesh::Instance deskAt (const SocketAddress& address, const std::string& id,
                              std::uint64_t revision)
{
    mesh::Instance instance;
    instance.id = id;
    instance.service = "desk";
    instance.address = address;
    instance.createdAt = { 0, revision };
    return instance;
}

/** A request for `desk` whose client waits for `wait`. */
inline HopCall callToDesk (Milliseconds wait)
{
    HopCall call;
    call.facts.requestId = "q";
    call.facts.service = "desk";
    call.facts.timeLeft = wait;
    call.method = "GET";
    call.target = "/";
    return call;
}

} // namespace copperlead::sidecar
