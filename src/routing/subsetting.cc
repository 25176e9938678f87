#include "routing/subsetting.h"

#include <algorithm>
#include <limits>
#include <numeric>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace copperlead {
namespace {

constexpr std::uint32_t kUnbounded = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t kMinMembers = 3;

// @return how many connections to one back end the whole fleet may keep open.
std::size_t MaxKeptConnections(std::uint32_t connections_per_instance) {
  const std::size_t headroom = connections_per_instance / 4;
  return std::max<std::size_t>(1, connections_per_instance - headroom);
}

std::size_t DivideUp(std::size_t dividend, std::size_t divisor) {
  return (dividend + divisor - 1) / divisor;
}

// @return the maximum number of nodes that share a back end when each node uses `size` of them.
std::size_t NodesPerBackEnd(const SubsetShape& shape, std::size_t size) {
  if (size >= shape.back_ends) return shape.live_nodes;
  return DivideUp(shape.live_nodes, shape.back_ends) * size;
}

// @return the largest subset size with at most `max_kept` nodes per back end; 1 when there is none.
std::size_t SubsetSize(const SubsetShape& shape, std::size_t max_kept) {
  std::size_t size = shape.back_ends;
  while (size > 1 && NodesPerBackEnd(shape, size) > max_kept) --size;
  return size;
}

// @return the distance between a node's back ends. It differs from block to block, so that the
//         nodes of a failed back end don't all move to the same other one. Taking `size` steps
//         visits no back end twice.
std::size_t Stride(const SubsetShape& shape, std::size_t block, std::size_t size) {
  if (shape.back_ends < 3) return 1;
  std::size_t stride = 1 + block % (shape.back_ends - 1);
  while (shape.back_ends / std::gcd(stride, shape.back_ends) < size) {
    stride = 1 + stride % (shape.back_ends - 1);
  }
  return stride;
}

bool Contains(const std::vector<SubsetMember>& members, std::size_t index) {
  return std::any_of(members.begin(), members.end(),
                     [&](const SubsetMember& member) { return member.index == index; });
}

// Adds spares up to the minimum number of members. The first candidate differs from block to block,
// so that nodes that share a back end start with different spares.
void AddSpares(const SubsetShape& shape, std::size_t start, std::size_t block,
               std::vector<SubsetMember>& members) {
  if (shape.back_ends < 2) return;
  const std::size_t min_members = std::min(shape.back_ends, kMinMembers);
  for (std::size_t step = 0; members.size() < min_members; ++step) {
    const std::size_t distance = 1 + (block + step) % (shape.back_ends - 1);
    const std::size_t index = (start + distance) % shape.back_ends;
    if (!Contains(members, index)) members.push_back({index, 0});
  }
}

std::vector<SubsetMember> UseAll(const SubsetShape& shape, std::uint32_t share) {
  std::vector<SubsetMember> members;
  for (std::size_t index = 0; index < shape.back_ends; ++index) members.push_back({index, share});
  return members;
}

}  // namespace

std::vector<SubsetMember> ChooseSubset(const SubsetShape& shape, std::string_view site_key) {
  if (shape.back_ends == 0) return {};
  const std::uint32_t slots = shape.slots_per_instance == 0 ? kUnbounded : shape.slots_per_instance;
  if (shape.connections_per_instance == 0) return UseAll(shape, slots);
  const std::size_t max_kept = MaxKeptConnections(shape.connections_per_instance);
  const std::size_t size = SubsetSize(shape, max_kept);
  const std::size_t nodes_per_back_end = NodesPerBackEnd(shape, size);
  std::size_t share = std::min<std::size_t>(slots, max_kept / nodes_per_back_end);
  if (size == shape.back_ends && share > 0) {
    return UseAll(shape, static_cast<std::uint32_t>(share));
  }

  const std::size_t block = shape.node_rank / shape.back_ends;
  // With more nodes than connections, nodes of the first blocks keep one connection each, the
  // others none.
  if (share == 0) share = block < max_kept ? 1 : 0;
  const std::size_t offset = XXH3_64bits(site_key.data(), site_key.size()) % shape.back_ends;
  const std::size_t start = (offset + shape.node_rank) % shape.back_ends;
  const std::size_t stride = Stride(shape, block, size);
  std::vector<SubsetMember> members;
  for (std::size_t step = 0; step < size; ++step) {
    const std::size_t index = (start + step * stride) % shape.back_ends;
    members.push_back({index, static_cast<std::uint32_t>(share)});
  }
  AddSpares(shape, start, block, members);
  return members;
}

}  // namespace copperlead
