// The deciding code of one node's control plane: membership, reader election, push tree, repair,
// activation. `Step(now, event) -> actions`; no I/O, no clock, no thread. The daemon and
// the simulator run this same class.
//
// Not thread-safe: each shell drives it under one lock.
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

// The ways of spreading a version that `simulate` compares. Daemons run kFull.
enum class Strategy : std::uint8_t {
  kFull,            // Elected readers, push tree, repair.
  kEveryNodePolls,  // Each node polls the source; no peer traffic for documents.
  kFlatPush,        // One reader per zone pushes to every member itself; no repair.
  kGossipOnly,      // Elected readers, repair on heartbeats, no push.
  kTreeOnly,        // Elected readers and push tree, no repair.
};

struct AgentSettings {
  Strategy strategy = Strategy::kFull;
  bool has_source = true;                              // False: this node cannot reach the source.
  Duration source_interval = std::chrono::seconds(1);  // Between polls of one zone's reader.
  Duration source_backoff_limit = std::chrono::seconds(30);
  std::size_t fan_out = 8;                       // Children per node of the push tree.
  Duration push_retry = Milliseconds(200);       // Until an unacknowledged push is repeated.
  std::size_t push_attempts = 2;                 // Then the child's children are pushed directly.
  std::size_t whole_transfers_per_second = 8;    // Admission of whole documents sent to peers.
  std::size_t history_size = 16;                 // Accepted versions kept in memory.
  Duration join_wait = std::chrono::seconds(3);  // Bounded wait for peers before activating.
  std::size_t join_quorum = 2;                   // Join answers that end the wait early.
  Duration pause_threshold = std::chrono::seconds(2);  // A later timer means the process slept.
  MembershipSettings membership;
  LedgerFaults faults;
  // Shared between agents of one thread by the simulator; null: each transfer is decoded anew.
  std::shared_ptr<TransferDecoder> decoder;
  // Offset of the wall clock's millisecond of day against `now`, for spreading polls over the
  // interval. Wrong clocks only spread them worse.
  std::int64_t wall_clock_offset_ms = 0;
};

// What the last polls of the source came to, for `status` and metrics.
struct SourceState {
  enum class Kind { kNotReader, kNever, kHealthy, kFailing, kBehind };
  Kind kind = Kind::kNotReader;
  Timestamp last_success{};
  std::uint64_t reads = 0;
  std::uint64_t failures = 0;
  // Set while the source shows a revision lower than the running one (restored from a backup).
  std::uint64_t behind_revision = 0;
};

class Agent {
 public:
  // @param self this node's identity; incarnation should rise between lives (e.g. wall-clock
  //        seconds at start).
  Agent(const AgentSettings& settings, MemberRecord self,
        const std::vector<SocketAddress>& contacts, std::uint64_t seed, Timestamp now);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  // Takes one event and gives the actions to carry out, in order.
  std::vector<Action> Step(Timestamp now, const Event& event);

  // When to deliver the next TimerFired.
  Timestamp NextDeadline() const;

  const Membership& membership() const;
  const VersionLedger& ledger() const;
  BundlePointer running() const;                     // Null before the first activation.
  MachineListPointer machines() const;               // Null before the first list.
  const std::deque<BundlePointer>& history() const;  // Accepted bundles, oldest first.
  const SourceState& source() const;
  bool is_reader() const;
  // True when serving may start: a bundle runs and its floor was checked or the wait is over.
  bool ready() const;
  // True when the wait for peers ended without any: the floor could not be checked.
  bool floor_unverified() const;
  // A version above the running one that some node, not always this one, has refused.
  const std::optional<RefusedVersion>& fleet_refused() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace copperlead
