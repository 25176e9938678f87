// What a node says on its admin port, as the demo and the tests need it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"

namespace copperlead::standin {

// One member as the asked node sees it.
struct MemberView {
  std::string id;
  std::string zone;
  std::string state;  // "alive", "suspect", "leaving", "dead".
  std::uint64_t revision = 0;
};

// From /status.
struct NodeView {
  bool ready = false;
  bool reader = false;
  std::uint64_t revision = 0;
  std::string digest;
  std::uint64_t machines_sequence = 0;
  std::string source_state;
  std::optional<std::uint64_t> waiting_revision;
  std::optional<std::uint64_t> conflict_revision;
  std::optional<std::uint64_t> refused_revision;
  std::string refused_explanation;
  std::vector<MemberView> fleet;

  // @return the members in `state`.
  std::size_t CountMembers(const std::string& state) const;
};

// @return nothing when the node does not answer.
std::optional<NodeView> AskNode(const SocketAddress& admin);

// @return the value of an unlabelled metric; 0 when the node or the metric is not there.
double MetricOf(const SocketAddress& admin, const std::string& name);

}  // namespace copperlead::standin
