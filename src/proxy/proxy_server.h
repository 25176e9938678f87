// The HTTP shell between callers and back ends. Streams both ways with bounded memory; every
// decision is RequestRouter's.
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
  std::size_t max_connections = 1100;  // One thread each; further callers get 503 at once.
  Duration header_timeout = std::chrono::seconds(10);  // For a whole request head.
  Duration idle_timeout = std::chrono::seconds(30);    // Between requests of one connection.
  Duration connect_timeout = std::chrono::seconds(1);  // To a back end.
  std::size_t buffer_limit = std::size_t{64} * 1024;   // Largest body held whole, in bytes.
};

// Latency and traffic of the data path, for metrics; any thread.
struct ProxyCounters {
  std::uint64_t connections = 0;           // Open now.
  std::uint64_t answered = 0;              // Requests answered, by back ends or by the node.
  std::uint64_t upstream_connections = 0;  // Open or pooled now.
};

class ProxyServer {
 public:
  virtual ~ProxyServer() = default;
  virtual SocketAddress local_address() const = 0;
  virtual ProxyCounters counters() const = 0;
  // Closes the listener, lets requests in flight finish for at most `limit`, then closes all.
  // @return true when nothing had to be cut.
  virtual bool Drain(Duration limit) = 0;
};

// Binds and serves. @return kAddressInUse naming the address.
Result<std::unique_ptr<ProxyServer>> StartProxyServer(const ProxySettings& settings,
                                                      std::shared_ptr<RequestRouter> router);

}  // namespace copperlead
