// One node, put together: agent, transport, source client, router, proxy and admin port.
#pragma once

#include <memory>

#include "base/result.h"
#include "node/settings.h"

namespace copperlead {

class Node {
 public:
  virtual ~Node() = default;

  virtual SocketAddress proxy_address() const = 0;
  virtual SocketAddress admin_address() const = 0;
  virtual SocketAddress peer_address() const = 0;

  // A planned stop: tells the fleet, closes the listener, lets requests in flight finish for at
  // most the drain limit, then stops everything. Call once.
  // @return true when no request had to be cut.
  virtual bool DrainAndStop() = 0;
};

// Binds every address and starts.
// @return kAddressInUse, kUnreadableFile or kBadSetting naming the key.
Result<std::unique_ptr<Node>> StartNode(const NodeSettings& settings);

}  // namespace copperlead
