// Starts the server with any decider: the seam between the shell and routing.
#pragma once

#include <memory>

#include "proxy/caller_request.h"
#include "proxy/proxy_server.h"

namespace copperlead {

// As StartProxyServer(), for tests with scripted sessions.
Result<std::unique_ptr<ProxyServer>> StartProxyServerWith(const ProxySettings& settings,
                                                          RequestDecider decider);

}  // namespace copperlead
