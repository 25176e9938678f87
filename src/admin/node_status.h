// What a node says of itself and of the fleet on its admin port. Typed; JSON is status_json.h's.
// Holds no secret value.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "distribution/agent.h"

namespace copperlead {

struct FleetEntry {
  NodeId id;
  ZoneName zone;
  MemberState state = MemberState::kAlive;
  std::uint64_t revision = 0;                     // Lower bound; 0: not known.
  std::optional<std::int64_t> last_heard_ms_ago;  // Direct evidence; none: never heard.
};

struct SourceStatus {
  std::string state;  // "not_reader", "never", "healthy", "failing", "behind".
  std::optional<std::int64_t> last_success_ms_ago;
  std::uint64_t reads = 0;
  std::uint64_t failures = 0;
  std::optional<std::uint64_t> behind_revision;
};

struct NodeStatus {
  NodeId id;
  ZoneName zone;
  bool ready = false;
  bool reader = false;
  bool joining = false;
  bool floor_unverified = false;
  std::uint64_t revision = 0;  // 0: none runs yet.
  std::uint32_t resource_epoch = 0;
  std::string digest;  // SHA-256 of the running table, hexadecimal.
  std::uint64_t floor = 0;
  std::uint64_t machines_sequence = 0;
  std::optional<LedgerEntry> waiting;
  std::optional<LedgerEntry> conflict;
  std::optional<LedgerEntry> last_refused;  // Latest refusal of a version above the running one.
  std::optional<RefusedVersion> fleet_refused;  // By any node, above the running version.
  SourceStatus source;
  std::vector<FleetEntry> fleet;  // This node included, by id.
};

// Collects the status from the deciding code. Pure.
NodeStatus CollectStatus(const Agent& agent, Timestamp now);

// @return the lower-case names used in JSON and metrics.
std::string_view Name(MemberState state);

// @return the /status document (see docs/INTERFACES.md).
std::string StatusToJson(const NodeStatus& status);

// @return the /journal document: the ledger's entries, oldest first, as `copperlead replay` reads.
std::string JournalToJson(const NodeId& id, const std::deque<LedgerEntry>& entries);

// Reads a /journal document back.
// @return the entries; kMalformedJson or kBadValue naming the entry.
Result<std::vector<LedgerEntry>> JournalFromJson(std::string_view body);

}  // namespace copperlead
