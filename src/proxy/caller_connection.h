// Serves one caller's connection: reads request heads within the size and time limits and runs one
// exchange after the other.
#pragma once

#include "proxy/connection_registry.h"
#include "proxy/lingering_closer.h"
#include "proxy/request_exchange.h"

namespace copperlead {

// How long an idle connection waits for a last request when the server drains. A request may
// already be in transit; its response announces that the connection closes.
inline constexpr Duration kDrainGracePeriod = std::chrono::milliseconds(500);

// The objects that a connection uses. All of them outlive the connection.
struct ConnectionServices {
  ProxyContext& context;
  ConnectionRegistry& registry;
  LingeringCloser& closer;
  int drain_fd;  // Becomes readable when the server drains.
};

// Takes ownership of `fd` and serves the connection until it ends. Runs in the connection's thread.
void ServeConnection(const ConnectionServices& services, int fd);

// Takes ownership of `fd` and responds that no thread is available for the connection. Does not
// block.
void RefuseConnection(const ConnectionServices& services, int fd);

}  // namespace copperlead
