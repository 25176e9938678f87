// The tree along which one zone's members hand a version down. Pure.
//
// Members are ordered by a hash over the version, so that the inner nodes change from version to
// version; the root comes first. The tree is a complete one of `fan_out` children per node, stored
// as an array. Nodes with different views build different trees; repair closes the gaps.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "membership/member.h"

namespace copperlead {

class PushTree {
 public:
  // @param members of one zone; a root that is not among them still takes the first place.
  // @param fan_out children per node, at least 1.
  PushTree(const DocumentVersion& version, const NodeId& root, std::size_t fan_out,
           const std::vector<MemberRecord>& members);

  // Members in tree order, the root first (without an address if it is not a member).
  const std::vector<MemberRecord>& order() const { return order_; }
  // @return the place of a member in the order, none when it is not in the tree.
  std::optional<std::size_t> IndexOf(const NodeId& id) const;
  // @return the places of the children of the member at `index`.
  std::vector<std::size_t> ChildrenOf(std::size_t index) const;

 private:
  std::size_t fan_out_;
  std::vector<MemberRecord> order_;
};

}  // namespace copperlead
