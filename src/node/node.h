// A complete node, composed of agent, transport, source client, router, proxy and admin server.
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

  // Performs a planned stop: announces to the fleet that this node leaves, closes the listener,
  // waits up to the drain limit for requests in flight, and then stops all components. Must be
  // called once.
  // @return true when no request was aborted.
  virtual bool DrainAndStop() = 0;
};

// Binds all addresses and starts the node.
// @return the node, or the error of the component that failed to start, such as kAddressInUse,
//         kUnreadableFile or kBadSetting.
Result<std::unique_ptr<Node>> StartNode(const NodeSettings& settings);

}  // namespace copperlead
