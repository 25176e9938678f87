// Failure detection. Sends one probe per interval, round-robin over a shuffled list of the members,
// and after a timeout probes indirectly through other members. A probe that is not answered before
// the next interval has failed.
//
// Decides which members to probe and which probes have failed; Membership decides what follows from
// a failure. Also keeps track of the probes that this node relays for others. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "membership/member_list.h"
#include "membership/random.h"

namespace copperlead {

// Id and address of another node.
struct ProbePeer {
  NodeId id;
  SocketAddress address;
};

// The actions that are due at one time.
struct ProbeStep {
  std::optional<NodeId> failed;     // Member whose probe was not answered in time.
  std::optional<ProbePeer> target;  // Member to send a Ping with `number` to.
  std::vector<ProbePeer> relays;    // Members to send a PingRequest about `relay_target` to.
  std::optional<ProbePeer> relay_target;
  std::uint32_t number = 0;
};

// A positive answer to pass back to the node that requested the probe.
struct RelayedAnswer {
  SocketAddress requester;
  std::uint32_t number = 0;
};

class Prober {
 public:
  Prober(const MembershipSettings& settings, RandomEngine& random, Timestamp now);

  // Discards the outstanding probe without a verdict and starts over. Called at start and after a
  // pause.
  void Restart(Timestamp now);
  // Inserts a member that was added or revived at a random position in the rest of the round.
  void AddToRound(const NodeId& id);

  // Must be called at or after NextDeadline().
  ProbeStep Advance(Timestamp now, const MemberList& members);
  Timestamp NextDeadline() const;

  // Records a PingAck.
  // @return true when it answers the outstanding probe.
  bool RecordAnswer(std::uint32_t number, const NodeId& sender);

  // Registers a probe for another node.
  // @return the number to ping the target with, or nullopt if too many relayed probes are
  //         outstanding.
  std::optional<std::uint32_t> StartRelay(Timestamp now, const SocketAddress& requester,
                                          std::uint32_t requester_number, const NodeId& target);
  // @return the answer to pass back if `number` and `sender` match a relayed probe.
  std::optional<RelayedAnswer> TakeRelayedAnswer(std::uint32_t number, const NodeId& sender);

  // Returns a number for a Ping, also for one whose answer is not awaited.
  std::uint32_t NextNumber() { return next_number_++; }

  // Number of consecutive unanswered probes of this node; high when this node itself is
  // disconnected.
  std::size_t consecutive_failures() const { return consecutive_failures_; }
  void ResetFailures() { consecutive_failures_ = 0; }

 private:
  struct Probe {
    std::uint32_t number = 0;
    ProbePeer target;
    bool indirect = false;
    Timestamp indirect_due{};
    std::vector<NodeId> relays;
  };
  struct Relay {
    RelayedAnswer answer;
    NodeId target;
    Timestamp expires{};
  };

  void StartProbe(Timestamp now, const MemberList& members, ProbeStep& step);
  void RequestIndirectProbes(const MemberList& members, ProbeStep& step);
  // Starts a new round when the current one ends.
  // @return the next member that is not dead, or null.
  const Member* NextTarget(const MemberList& members);
  void ShuffleRound(const MemberList& members);

  const MembershipSettings& settings_;
  RandomEngine& random_;
  std::vector<NodeId> round_;  // Member ids in the order of probing.
  std::size_t position_ = 0;   // Index of the next member in round_.
  std::optional<Probe> probe_;
  Timestamp next_probe_{};
  std::uint32_t next_number_ = 0;
  std::size_t consecutive_failures_ = 0;
  std::map<std::uint32_t, Relay> relays_;  // Key: number of the Ping sent to the target.
};

// Draws at random without repetition; the number of draws is limited, so it may return fewer.
// @return up to `count` different nodes of `candidates` that are not in `excluded`.
std::vector<ProbePeer> PickPeers(RandomEngine& random,
                                 const std::vector<const MemberRecord*>& candidates,
                                 std::size_t count, const std::vector<NodeId>& excluded);

}  // namespace copperlead
