// What the data path decides by: one immutable object, swapped whole when the bundle or the
// machine list changes.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "routing/path_normalizer.h"
#include "routing/route_index.h"
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
  // Connections that this node may keep open to it: its share of the service's
  // connections_per_instance. Requests beyond it close their connection after the answer. 0: a
  // spare, used only so.
  std::uint32_t connection_share = std::numeric_limits<std::uint32_t>::max();
};

// The back ends of one service, by site, leaving ones included. After subsetting.
struct ServiceEndpoints {
  ServiceSettings settings;
  std::vector<Endpoint> old_site;
  std::vector<Endpoint> new_site;
};

// What subsetting and the choice among equals need to know of the fleet.
struct FleetShape {
  std::string node_id;
  std::size_t live_nodes = 1;  // By this node's membership view.
  std::size_t node_rank = 0;   // Of this node among live nodes by id, 0 first.
  std::string zone;            // This node's; empty: no preference.
};

struct RoutingSnapshot {
  BundlePointer bundle;
  MachineListPointer machines;
  RouteIndex index;
  std::map<std::string, ServiceEndpoints> services;  // Every service of the bundle.
  FleetShape fleet;
};
using RoutingSnapshotPointer = std::shared_ptr<const RoutingSnapshot>;

// Builds the snapshot; pure. `machines` may be null (no endpoints yet).
// With more nodes than a back end's connections allow, each node gets a subset of each site (see
// subsetting.h) that depends on its rank: when ranks move, so may connections. Callers rebuild on
// a new bundle or machine list at once, on a changed fleet shape at most every few seconds.
RoutingSnapshotPointer BuildRoutingSnapshot(BundlePointer bundle, MachineListPointer machines,
                                            const FleetShape& fleet);

}  // namespace copperlead
