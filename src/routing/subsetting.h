// Chooses the back ends of a site that a node uses when the fleet is too large for every node to
// connect to every back end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace copperlead {

// Inputs of the choice. Nodes that see the same sizes choose consistent subsets.
struct SubsetShape {
  std::size_t back_ends = 0;   // Number of back ends of one site, without leaving ones.
  std::size_t live_nodes = 1;  // At least 1.
  std::size_t node_rank = 0;   // Rank of this node, below live_nodes.
  std::uint32_t connections_per_instance = 0;  // 0: no limit.
  std::uint32_t slots_per_instance = 0;        // 0: no limit.
};

// One back end of the subset.
struct SubsetMember {
  std::size_t index = 0;               // Index in the site's back ends.
  std::uint32_t connection_share = 0;  // Connections that the node may keep open; 0: a spare.
};

// Deterministic subsetting by node rank. The shares of all ranks add up to at most three quarters
// of connections_per_instance at each back end; the rest is reserved for connections that are
// closed after one answer (spares, bursts over the share). In small fleets a node uses all back
// ends. In larger fleets it uses a subset, and each block of `back_ends` consecutive ranks spreads
// its subsets evenly. A subset has at least min(back_ends, 3) back ends, spares included, so that a
// retry can go to another one. With more nodes than connections in total, some nodes have a share
// of 0.
// @param site_key name of the service and site, so that partial blocks differ between services.
// @return the members, those with a share first.
std::vector<SubsetMember> ChooseSubset(const SubsetShape& shape, std::string_view site_key);

}  // namespace copperlead
