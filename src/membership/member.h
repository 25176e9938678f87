// What is known about one node, and what a node reports about itself in every message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/address.h"
#include "snapshot/version.h"

namespace copperlead {

using NodeId = std::string;
using ZoneName = std::string;

enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // Did not answer a probe; is declared dead unless it refutes this in time.
  kLeaving,  // Is draining; holds no role and is not given new pushes to forward.
  kDead,
};

// A member as it is gossiped. Statements about one node are ordered by incarnation, which only the
// node itself raises. At equal incarnation kDead > kLeaving > kSuspect > kAlive.
struct MemberRecord {
  NodeId id;
  ZoneName zone;
  SocketAddress address;  // Address for messages from peers.
  MemberState state = MemberState::kAlive;
  std::uint32_t incarnation = 0;
  // Highest configuration that this node is known to have run. It is a lower bound, because a node
  // never runs an older one again.
  DocumentVersion configuration;

  bool operator==(const MemberRecord&) const = default;
};

// A version that a node has refused, as it is gossiped.
struct RefusedVersion {
  DocumentVersion version;
  NodeId node;
  std::string explanation;  // Text for operators; at most kMaxExplanationBytes long.

  bool operator==(const RefusedVersion&) const = default;
};

inline constexpr std::size_t kMaxExplanationBytes = 200;

// What each message reports about its sender. Every message serves as a heartbeat.
struct NodeSummary {
  MemberRecord record;
  DocumentVersion machines;
  // Hash over (id, incarnation, state) of all members the sender believes alive; peers whose
  // hashes keep differing exchange their lists.
  std::uint64_t membership_hash = 0;
  // The latest version above the sender's own that any node is known to have refused.
  std::optional<RefusedVersion> refused{};

  bool operator==(const NodeSummary&) const = default;
};

}  // namespace copperlead
