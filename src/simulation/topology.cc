#include "simulation/topology.h"

namespace copperlead::simulation {
namespace {

constexpr std::uint16_t kPeerPort = 7000;
constexpr std::size_t kNodesPerSubnet = 250;

std::string AddressOfNode(ZoneIndex zone, std::size_t place_in_zone) {
  const std::size_t subnet = place_in_zone / kNodesPerSubnet;
  const std::size_t host = place_in_zone % kNodesPerSubnet + 1;
  return "10." + std::to_string(zone + 1) + "." + std::to_string(subnet) + "." +
         std::to_string(host);
}

}  // namespace

Topology::Topology(std::size_t nodes, std::size_t zones, std::size_t regions) : regions_(regions) {
  for (ZoneIndex zone = 0; zone < zones; ++zone) {
    zones_.push_back("zone-" + std::string(1, static_cast<char>('a' + zone % 26)) +
                     (zone < 26 ? "" : std::to_string(zone / 26)));
  }
  for (NodeIndex node = 0; node < nodes; ++node) {
    ids_.push_back("node-" + std::to_string(node + 1));
    addresses_.push_back(SocketAddress{AddressOfNode(ZoneOf(node), node / zones), kPeerPort});
    by_ip_.emplace(addresses_.back().ip, node);
  }
}

std::optional<NodeIndex> Topology::NodeAt(const SocketAddress& address) const {
  const auto found = by_ip_.find(address.ip);
  if (found == by_ip_.end() || address.port != kPeerPort) return std::nullopt;
  return found->second;
}

std::vector<NodeIndex> Topology::NodesInZone(ZoneIndex zone) const {
  std::vector<NodeIndex> nodes;
  for (NodeIndex node = zone; node < node_count(); node += zone_count()) nodes.push_back(node);
  return nodes;
}

}  // namespace copperlead::simulation
