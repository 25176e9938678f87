// What is known of one node, and what a node tells of itself in every message.
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
  kSuspect,  // Did not answer a probe; dead unless it refutes in time.
  kLeaving,  // Drains; takes no role and gets no new push duties.
  kDead,
};

// A member as gossiped. Incarnation orders statements about one node: only the node itself raises
// it. At equal incarnation kDead > kLeaving > kSuspect > kAlive.
struct MemberRecord {
  NodeId id;
  ZoneName zone;
  SocketAddress address;  // Peer address.
  MemberState state = MemberState::kAlive;
  std::uint32_t incarnation = 0;
  // Highest configuration that this node was seen to run: a lower bound, since it never falls.
  DocumentVersion configuration;

  bool operator==(const MemberRecord&) const = default;
};

// A version that a node has refused, as gossiped.
struct RefusedVersion {
  DocumentVersion version;
  NodeId node;
  std::string explanation;  // For operators; at most kMaxExplanationBytes.

  bool operator==(const RefusedVersion&) const = default;
};

inline constexpr std::size_t kMaxExplanationBytes = 200;

// What each message says of its sender. Every message is a heartbeat.
struct NodeSummary {
  MemberRecord record;
  DocumentVersion machines;
  // Hash over (id, incarnation, state) of all members the sender believes alive; peers whose
  // hashes keep differing exchange their lists.
  std::uint64_t membership_hash = 0;
  // The latest version above the sender's that any node is known to have refused.
  std::optional<RefusedVersion> refused{};

  bool operator==(const NodeSummary&) const = default;
};

}  // namespace copperlead
