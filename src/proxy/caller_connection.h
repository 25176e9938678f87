// Serves one caller's connection: reads request heads under their limits, one exchange after the
// other.
#pragma once

#include "proxy/connection_registry.h"
#include "proxy/lingering_closer.h"
#include "proxy/request_exchange.h"

namespace copperlead {

// How long an idle connection waits for a last request when the server drains: one may be on its
// way, and its answer says that the connection closes.
inline constexpr Duration kDrainGrace = std::chrono::milliseconds(500);

// What a connection needs beside the context. All outlive the connection.
struct ConnectionServices {
  ProxyContext& context;
  ConnectionRegistry& registry;
  LingeringCloser& closer;
  int drain_fd;  // Becomes readable when the server drains.
};

// Takes over `fd` and serves it until it ends. Runs in the connection's thread.
void ServeConnection(const ConnectionServices& services, int fd);

// Takes over `fd` and refuses it for want of threads. Does not block.
void RefuseConnection(const ConnectionServices& services, int fd);

}  // namespace copperlead
