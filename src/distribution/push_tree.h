// The forest along which one zone's members hand a version down. Pure.
//
// Members are ordered by a hash over the version, so that the inner nodes change from version to
// version. The first `fan_out` of the order are the heads; the children of the others follow from
// their place. The forest does not depend on who starts a push: whoever does pushes to the heads
// and to its own children. So when two nodes start one version (a reader and its standby both
// read it), their pushes meet in one forest and no member is left out. Nodes with different views
// build different forests; repair closes the gaps.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "membership/member.h"

namespace copperlead {

class PushTree {
 public:
  // @param members of one zone.
  // @param fan_out children per node, at least 1.
  PushTree(const DocumentVersion& version, std::size_t fan_out,
           const std::vector<MemberRecord>& members);

  const std::vector<MemberRecord>& order() const { return order_; }
  // @return the place of a member in the order, none when it is not in the forest.
  std::optional<std::size_t> IndexOf(const NodeId& id) const;
  // @return the places of the heads.
  std::vector<std::size_t> Heads() const;
  // @return the places of the children of the member at `index`.
  std::vector<std::size_t> ChildrenOf(std::size_t index) const;

 private:
  std::vector<std::size_t> Range(std::size_t first) const;

  std::size_t fan_out_;
  std::vector<MemberRecord> order_;
};

}  // namespace copperlead
