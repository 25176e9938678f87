// The operators' port: /status /metrics /journal /history/<revision> /healthz /readyz.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/address.h"
#include "base/result.h"

namespace copperlead {

// What each path answers with; called from the server's threads.
struct AdminSources {
  std::function<std::string()> status;                                        // JSON.
  std::function<std::string()> metrics;                                       // Prometheus text.
  std::function<std::string()> journal;                                       // JSON.
  std::function<std::optional<std::string>(std::uint64_t revision)> history;  // CSV; none: 404.
  std::function<bool()> ready;
};

class AdminServer {
 public:
  virtual ~AdminServer() = default;
  virtual SocketAddress local_address() const = 0;
  virtual void Stop() = 0;
};

// Binds and serves. @return kAddressInUse naming the address.
Result<std::unique_ptr<AdminServer>> StartAdminServer(const SocketAddress& listen,
                                                      AdminSources sources);

}  // namespace copperlead
