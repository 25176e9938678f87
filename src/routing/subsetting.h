// Which back ends of a site a node uses when the fleet is too large for all to use all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace copperlead {

// The sizes that decide. Every node that sees the same ones gets a consistent part.
struct SubsetShape {
  std::size_t back_ends = 0;                   // Of one site, leaving ones not counted.
  std::size_t live_nodes = 1;                  // At least 1.
  std::size_t node_rank = 0;                   // Below live_nodes.
  std::uint32_t connections_per_instance = 0;  // 0: no bound.
  std::uint32_t slots_per_instance = 0;        // 0: no bound.
};

// One back end of the subset.
struct SubsetMember {
  std::size_t index = 0;               // Among the site's back ends.
  std::uint32_t connection_share = 0;  // Connections that the node may keep open; 0: a spare.
};

// Deterministic subsetting over node ranks. The shares of all ranks add up to at most three
// quarters of connections_per_instance at each back end; the rest is left for connections that are
// closed after one answer (spares, bursts over the share). Small fleets use all back ends; larger
// ones a subset that each block of `back_ends` consecutive ranks spreads evenly; at least
// min(back_ends, 3) back ends are in it, spares included, so that a retry has somewhere to go.
// With more nodes than connections in all, some nodes' shares are 0.
// @param site_key names the service and site, so that partial blocks differ between services.
// @return the members, those with a share first.
std::vector<SubsetMember> ChooseSubset(const SubsetShape& shape, std::string_view site_key);

}  // namespace copperlead
