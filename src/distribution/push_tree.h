// The forest along which the members of one zone push a version. Does no I/O.
//
// Members are ordered by a hash of version and id, so that the inner nodes change from version to
// version. The first `fan_out` members are the top level; the children of each member follow from
// its index. The forest does not depend on who starts a push: the starting node pushes to the top
// level and to its own children. When two nodes start the same version (a reader and its standby
// both read it), both use the same forest and no member is left out. Nodes with different views of
// the zone build different forests; repair reaches the members that are missed.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "membership/member.h"

namespace copperlead {

class PushTree {
 public:
  // @param fan_out children per node; raised to 1 if it is 0.
  // @param members all members of one zone.
  PushTree(const DocumentVersion& version, std::size_t fan_out,
           const std::vector<MemberRecord>& members);

  const std::vector<MemberRecord>& order() const { return order_; }
  // @return the index of a member in the order, or none when it is not in the forest.
  std::optional<std::size_t> IndexOf(const NodeId& id) const;
  // @return the indices of the top level.
  std::vector<std::size_t> TopLevel() const;
  // @return the indices of the children of the member at `index`.
  std::vector<std::size_t> ChildrenOf(std::size_t index) const;

 private:
  std::vector<std::size_t> Range(std::size_t first) const;

  std::size_t fan_out_;
  std::vector<MemberRecord> order_;
};

}  // namespace copperlead
