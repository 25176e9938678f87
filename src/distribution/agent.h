// The decision logic of one node's control plane: membership, reader election, push tree, repair
// and activation. `Step(now, event)` returns actions; the class does no I/O, reads no clock and
// starts no thread. The daemon and the simulator run this same class.
//
// Not thread-safe: each of them drives it under one lock.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "distribution/event.h"
#include "distribution/transfer_decoder.h"
#include "distribution/version_ledger.h"
#include "membership/membership.h"

namespace copperlead {

// Strategies for distributing a version that `simulate` compares. Daemons run kFull.
enum class Strategy : std::uint8_t {
  kFull,            // Elected readers, push tree and repair.
  kEveryNodePolls,  // Each node polls the source; peers exchange no documents.
  kFlatPush,        // One reader per zone pushes to all members; no repair.
  kGossipOnly,      // Elected readers and repair on heartbeats, no push.
  kTreeOnly,        // Elected readers and push tree, no repair.
};

struct AgentSettings {
  Strategy strategy = Strategy::kFull;
  bool has_source = true;  // False if this node cannot reach the source.
  Duration source_interval = std::chrono::seconds(1);  // Time between polls of a zone's reader.
  Duration source_backoff_limit = std::chrono::seconds(30);  // Maximum backoff after failed reads.
  std::size_t fan_out = 8;                                   // Children per node of the push tree.
  Duration push_retry = Milliseconds(200);       // Wait before an unacknowledged push is repeated.
  std::size_t push_attempts = 2;                 // Attempts before a push is given up.
  std::size_t whole_transfers_per_second = 8;    // Limit for whole documents sent to peers.
  std::size_t history_size = 16;                 // Accepted versions kept in memory.
  Duration join_wait = std::chrono::seconds(3);  // Maximum wait for peers before activation.
  std::size_t join_quorum = 2;                   // Join answers that end the wait early.
  Duration pause_threshold = std::chrono::seconds(2);  // A timer later than this means a pause.
  MembershipSettings membership;
  LedgerFaults faults;
  // The simulator shares one decoder between the agents of a thread. If null, each transfer is
  // decoded anew.
  std::shared_ptr<TransferDecoder> decoder;
  // Offset of the wall clock's millisecond of day against `now`, used to spread polls over the
  // interval. A wrong clock only makes the spread less even.
  std::int64_t wall_clock_offset_ms = 0;
};

// Result of the latest polls of the source, for `status` and metrics.
struct SourceState {
  enum class Kind { kNotReader, kNever, kHealthy, kFailing, kBehind };
  Kind kind = Kind::kNotReader;
  Timestamp last_success{};
  std::uint64_t reads = 0;
  std::uint64_t failures = 0;
  // Set while the source serves a revision lower than the running one (restored from a backup).
  std::uint64_t behind_revision = 0;
};

class Agent {
 public:
  // @param self this node's identity. Its incarnation should rise with each start of the process,
  //        e.g. wall-clock seconds at start.
  Agent(const AgentSettings& settings, MemberRecord self,
        const std::vector<SocketAddress>& contacts, std::uint64_t seed, Timestamp now);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Handles one event and returns the actions to carry out, in order.
  std::vector<Action> Step(Timestamp now, const Event& event);

  // Time at which the next TimerFired is due.
  Timestamp NextDeadline() const;

  const Membership& membership() const;
  const VersionLedger& ledger() const;
  BundlePointer running() const;                     // Null before the first activation.
  MachineListPointer machines() const;               // Null before the first list.
  const std::deque<BundlePointer>& history() const;  // Accepted bundles, oldest first.
  const SourceState& source() const;
  bool is_reader() const;
  // True when serving may start: a bundle runs, which is activated only after its floor was checked
  // or the wait ended.
  bool ready() const;
  // True when the wait for peers ended without any answer, so that the floor could not be checked.
  bool floor_unverified() const;
  // A version that is not superseded by the running one and that this or another node has refused.
  const std::optional<RefusedVersion>& fleet_refused() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace copperlead
