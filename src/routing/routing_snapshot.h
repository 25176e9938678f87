// The configuration of the data path: one immutable object, replaced as a whole when the bundle or
// the machine list changes.
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
  bool leaving = false;  // Set by the platform's list; EndpointState holds the node's own evidence.
  // Number of connections that this node may keep open to it: the node's share of the service's
  // connections_per_instance. Requests over the share close their connection after the answer. 0: a
  // spare, whose connections are always closed.
  std::uint32_t connection_share = std::numeric_limits<std::uint32_t>::max();
};

// The back ends of one service by site, after subsetting. Leaving ones are included.
struct ServiceEndpoints {
  ServiceSettings settings;
  std::vector<Endpoint> old_site;
  std::vector<Endpoint> new_site;
};

// Properties of the fleet that subsetting and the choice at equal load depend on.
struct FleetShape {
  std::string node_id;
  std::size_t live_nodes = 1;  // Number by this node's membership view.
  std::size_t node_rank = 0;   // Rank of this node among live nodes by id, starting at 0.
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

// Builds the snapshot. `machines` may be null when no machine list is known yet.
// With more nodes than a back end's connections allow, each node gets a subset of each site (see
// subsetting.h) that depends on its rank, so connections may move when ranks change. Callers
// rebuild at once on a new bundle or machine list, and at most every few seconds on a changed fleet
// shape.
RoutingSnapshotPointer BuildRoutingSnapshot(BundlePointer bundle, MachineListPointer machines,
                                            const FleetShape& fleet);

}  // namespace copperlead
