// What the data path decides by: one immutable object, swapped whole when the bundle or the
// machine list changes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "snapshot/bundle.h"
#include "snapshot/machines.h"

namespace copperlead {

// One back end of a service.
struct Endpoint {
  std::string id;
  SocketAddress address;
  Site site = Site::kOld;
  std::string zone;
  bool leaving = false;  // By the platform's list; the node's own evidence is kept elsewhere.
};

// The back ends of one service, by site, leaving ones included. After subsetting.
struct ServiceEndpoints {
  ServiceSettings settings;
  std::vector<Endpoint> old_site;
  std::vector<Endpoint> new_site;
};

// Longest-prefix match over path segments. Immutable; any thread.
class RouteIndex {
 public:
  explicit RouteIndex(const Table& table);
  ~RouteIndex();
  RouteIndex(RouteIndex&&) noexcept;
  RouteIndex& operator=(RouteIndex&&) noexcept;

  // @param path normalized (see NormalizePath).
  // @return the index into table.rows of the longest route that is `path` or a prefix of it ending
  //         on a segment border; -1 when none is.
  int Match(std::string_view path) const;

 private:
  struct Node;
  std::unique_ptr<Node> root_;
};

// Brings a request target's path into the form that routes are matched by: percent-decodes
// unreserved characters, resolves "." and ".." segments, collapses "//".
// @return false when the path must be refused: it leaves the root, holds an encoded '/', '\\' or
//         NUL, or a malformed escape.
bool NormalizePath(std::string_view path, std::string& normalized);

struct RoutingSnapshot {
  BundlePointer bundle;
  MachineListPointer machines;
  RouteIndex index;
  std::map<std::string, ServiceEndpoints> services;  // Every service of the bundle.
};
using RoutingSnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

// What subsetting needs to know of the fleet.
struct FleetShape {
  std::string node_id;
  std::size_t live_nodes = 1;  // By this node's membership view.
  std::size_t node_rank = 0;   // Of this node among live nodes by id, 0 first.
};

// Builds the snapshot. `machines` may be null (no endpoints yet).
RoutingSnapshotPointer BuildRoutingSnapshot(BundlePointer bundle, MachineListPointer machines,
                                            const FleetShape& fleet);

}  // namespace copperlead
