// Where the simulated nodes stand: ids, addresses, zones and regions. Immutable.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"

namespace copperlead::simulation {

using NodeIndex = std::size_t;
using ZoneIndex = std::size_t;

class Topology {
 public:
  // Spreads `nodes` evenly over `zones`, and the zones in runs over `regions`. All at least 1;
  // zones at most nodes, regions at most zones.
  Topology(std::size_t nodes, std::size_t zones, std::size_t regions);

  std::size_t node_count() const { return ids_.size(); }
  std::size_t zone_count() const { return zones_.size(); }
  std::size_t region_count() const { return regions_; }

  ZoneIndex ZoneOf(NodeIndex node) const { return node % zones_.size(); }
  std::size_t RegionOfZone(ZoneIndex zone) const { return zone * regions_ / zones_.size(); }
  const std::string& ZoneName(ZoneIndex zone) const { return zones_[zone]; }
  const std::string& Id(NodeIndex node) const { return ids_[node]; }
  const SocketAddress& Address(NodeIndex node) const { return addresses_[node]; }

  // @return the node with this peer address; none for an address outside the fleet.
  std::optional<NodeIndex> NodeAt(const SocketAddress& address) const;
  // @return the nodes of a zone, in order of index.
  std::vector<NodeIndex> NodesInZone(ZoneIndex zone) const;

 private:
  std::size_t regions_;
  std::vector<std::string> zones_;
  std::vector<std::string> ids_;
  std::vector<SocketAddress> addresses_;
  std::unordered_map<std::string, NodeIndex> by_ip_;
};

}  // namespace copperlead::simulation
