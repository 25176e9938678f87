// The HTTP proxy between callers and back ends. Streams bodies in both directions with bounded
// memory. RequestRouter makes every routing decision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/address.h"
#include "base/result.h"
#include "routing/request_router.h"

namespace copperlead {

struct ProxySettings {
  SocketAddress listen;
  std::size_t max_connections = 1100;  // One thread each; further callers get 503 immediately.
  Duration header_timeout = std::chrono::seconds(10);  // Limit for a complete request head.
  Duration idle_timeout = std::chrono::seconds(30);    // Limit between requests of one connection.
  Duration connect_timeout = std::chrono::seconds(1);  // Limit for a connection to a back end.
  std::size_t buffer_limit = std::size_t{64} * 1024;   // Largest body held in memory, in bytes.
};

// Counters of the data path, for metrics.
struct ProxyCounters {
  std::uint64_t connections = 0;           // Currently open.
  std::uint64_t answered = 0;              // Requests answered, by back ends or by this node.
  std::uint64_t upstream_connections = 0;  // Currently in use or pooled.
};

class ProxyServer {
 public:
  virtual ~ProxyServer() = default;
  virtual SocketAddress local_address() const = 0;
  virtual ProxyCounters counters() const = 0;
  // Closes the listener, waits up to `limit` for requests in flight, then closes every connection.
  // @return true when no request in flight was interrupted.
  virtual bool Drain(Duration limit) = 0;
};

// Binds the address and starts to serve. @return kAddressInUse with the address when that fails.
Result<std::unique_ptr<ProxyServer>> StartProxyServer(const ProxySettings& settings,
                                                      std::shared_ptr<RequestRouter> router);

}  // namespace copperlead
