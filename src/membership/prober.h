// Failure detection: one probe per interval, round-robin over a shuffled list of the members; after
// a timeout through other members; unanswered until the next interval means failed.
//
// Decides whom to ask and which probes failed; what follows from a failure is Membership's. Also
// keeps the probes that this node passes on for others. Not thread-safe.
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

// Another node to send something to.
struct ProbePeer {
  NodeId id;
  SocketAddress address;
};

// What is due at one moment.
struct ProbeStep {
  std::optional<NodeId> failed;     // Its probe was not answered in time.
  std::optional<ProbePeer> target;  // Send it a Ping with `number`.
  std::vector<ProbePeer> relays;    // Send each a PingRequest about `relay_target`.
  std::optional<ProbePeer> relay_target;
  std::uint32_t number = 0;
};

// A positive answer to pass back to the node that asked for the probe.
struct RelayedAnswer {
  SocketAddress requester;
  std::uint32_t number = 0;
};

class Prober {
 public:
  Prober(const MembershipSettings& settings, RandomEngine& random, Timestamp now);

  // Drops the outstanding probe without a verdict and starts over: at start and after a pause.
  void Restart(Timestamp now);
  // Puts a member that was added or revived at a random place in the rest of the round.
  void Include(const NodeId& id);

  // Call at or after NextDeadline().
  ProbeStep Advance(Timestamp now, const MemberList& members);
  Timestamp NextDeadline() const;

  // Takes a PingAck.
  // @return true when it answers the outstanding probe.
  bool TakeAnswer(std::uint32_t number, const NodeId& sender);

  // Registers a probe for another node.
  // @return the number to Ping the target with; none when too many are under way.
  std::optional<std::uint32_t> StartRelay(Timestamp now, const SocketAddress& requester,
                                          std::uint32_t requester_number, const NodeId& target);
  // @return whom to tell, when `number` and `sender` answer a probe passed on for another node.
  std::optional<RelayedAnswer> TakeRelayAnswer(std::uint32_t number, const NodeId& sender);

  // A number for a Ping whose answer nobody waits for.
  std::uint32_t NextNumber() { return next_number_++; }

  // Own probes in a row that nobody answered: high when this node itself is cut off.
  std::size_t failures_in_a_row() const { return failures_in_a_row_; }
  void ForgetFailures() { failures_in_a_row_ = 0; }

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
  void AskRelays(const MemberList& members, ProbeStep& step);
  // @return the next member that is not dead, or null; starts a new round when one ends.
  const Member* NextTarget(const MemberList& members);
  void ShuffleRound(const MemberList& members);

  const MembershipSettings& settings_;
  RandomEngine& random_;
  std::vector<NodeId> round_;  // Ids in the order of probing.
  std::size_t position_ = 0;   // Next one in round_.
  std::optional<Probe> probe_;
  Timestamp next_probe_{};
  std::uint32_t next_number_ = 0;
  std::size_t failures_in_a_row_ = 0;
  std::map<std::uint32_t, Relay> relays_;  // By the number of the Ping sent.
};

// @return up to `count` different records of `candidates`, without `excluded`, in random order.
std::vector<ProbePeer> PickPeers(RandomEngine& random,
                                 const std::vector<const MemberRecord*>& candidates,
                                 std::size_t count, const std::vector<NodeId>& excluded);

}  // namespace copperlead
