// Starts the server with any RequestDecider, which separates the HTTP proxy from the routing layer.
#pragma once

#include <memory>

#include "proxy/caller_request.h"
#include "proxy/proxy_server.h"

namespace copperlead {

// Does the same as StartProxyServer() with a given decider. Tests use it with scripted sessions.
Result<std::unique_ptr<ProxyServer>> StartProxyServerWith(const ProxySettings& settings,
                                                          RequestDecider decider);

}  // namespace copperlead
