// SWIM-style membership: probing, suspicion, incarnation, piggybacked updates, anti-entropy of the
// member list. A state machine without I/O: time and messages in, messages out.
//
// Not thread-safe: owned by one Agent, which its shell drives under one lock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"
#include "membership/message.h"

namespace copperlead {

// Intervals and bounds. Defaults are the `avlak` profile; see docs/CAPACITY.md for the figures.
struct MembershipSettings {
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = Milliseconds(300);  // Until indirect probes are asked for.
  Duration suspicion_timeout = std::chrono::seconds(4);
  std::size_t indirect_probes = 2;
  std::size_t max_updates_per_message = 8;
  std::size_t retransmit_factor = 3;                  // Times log2(n + 1) sends of each update.
  Duration sync_interval = std::chrono::seconds(10);  // Least time between two list exchanges.
  Duration forget_dead_after = std::chrono::minutes(30);
  std::size_t join_contacts = 3;  // Peers asked at start and after a pause.
};

// One member as this node sees it.
struct Member {
  MemberRecord record;
  DocumentVersion machines;  // Last heard directly.
  Timestamp last_heard{};    // Direct evidence only; the epoch when never.
  Timestamp state_since{};
  // A dead member learned from another node's list; not listed on, so that it ends being known.
  bool remembered_by_others = false;
};

class Membership {
 public:
  // @param self this node's record; its incarnation starts at the given value and only rises.
  // @param seed of this node's random choices.
  Membership(const MembershipSettings& settings, MemberRecord self, std::uint64_t seed,
             Timestamp now);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds first contacts (settings' --peer): addresses whose ids are not known yet.
  void AddContacts(const std::vector<SocketAddress>& contacts);

  // Takes the platform's word: adds nodes never heard of as alive (incarnation 0), never
  // overrides evidence, and marks nothing dead. Leaving entries lose roles but stay members.
  void AddSeeds(Timestamp now, const std::vector<MemberRecord>& seeds);

  // Starts (or after a pause, restarts) joining: asks up to join_contacts peers for their lists.
  std::vector<OutgoingMessage> Join(Timestamp now);

  // Probes, suspicion timers, list exchanges that are due. Call at or after NextDeadline().
  std::vector<OutgoingMessage> Tick(Timestamp now);
  Timestamp NextDeadline() const;

  // Takes any message: the sender's summary counts as evidence whatever the body; bodies of
  // distribution are otherwise ignored here.
  std::vector<OutgoingMessage> Handle(Timestamp now, const SocketAddress& from,
                                      const Message& message);

  // Announces that this node drains (state kLeaving, incarnation raised) to several members.
  std::vector<OutgoingMessage> Leave(Timestamp now);

  // Sets what this node tells of itself in every summary.
  void SetVersions(const DocumentVersion& configuration, const DocumentVersion& machines);
  void SetRefused(const std::optional<RefusedVersion>& refused);
  NodeSummary Summary() const;

  const MemberRecord& self() const;
  // All members but this node, by id; includes suspect, leaving and dead ones.
  const std::map<NodeId, Member>& members() const;
  // Members that may hold a role or a place in a tree (alive or suspect), this node included.
  // Sorted by id. Each call copies the records: callers that ask often keep what they made of them
  // until EligibilityVersion() changes.
  std::vector<MemberRecord> Eligible() const;
  std::vector<MemberRecord> EligibleInZone(const ZoneName& zone) const;
  // Rises with every change of who is eligible, or of an eligible member's zone or address.
  std::uint64_t EligibilityVersion() const;
  // Alive or suspect nodes, this one included; at least 1.
  std::size_t LiveCount() const;

  // Answers to this node's Join heard so far: their number, and the highest version remembered of
  // this node or run by a peer.
  std::size_t JoinReplies() const;
  const DocumentVersion& HighestHeard() const;

  // True once the fleet was heard since start or since the last Join().
  bool HeardFleet() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace copperlead
