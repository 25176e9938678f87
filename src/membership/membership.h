// SWIM-style membership with probing, suspicion, incarnations, piggybacked updates and anti-entropy
// of the member list. It is a state machine without I/O that takes the time and messages and
// returns messages to send.
//
// Not thread-safe. Each object is owned by one Agent, which is called under one lock.
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

// Intervals and limits. The defaults are the `avlak` profile; docs/CAPACITY.md has the figures.
struct MembershipSettings {
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = Milliseconds(300);  // Time until indirect probes are requested.
  Duration suspicion_timeout = std::chrono::seconds(4);
  std::size_t indirect_probes = 2;
  std::size_t max_updates_per_message = 8;
  std::size_t retransmit_factor = 3;  // Each update is sent this many times log2(n + 1) times.
  Duration sync_interval = std::chrono::seconds(10);  // Minimum time between two list exchanges.
  Duration forget_dead_after = std::chrono::minutes(30);
  std::size_t join_contacts = 3;  // Number of peers asked at start and after a pause.
};

// One member as this node sees it.
struct Member {
  MemberRecord record;
  DocumentVersion machines;  // Last value received from the member itself.
  Timestamp last_contact{};  // Time of the last direct message; the epoch if there was none.
  Timestamp state_since{};
  // True for a dead member learned from another node's list. It is not passed on in lists, so that
  // the fleet eventually forgets it.
  bool known_from_other_list = false;
};

class Membership {
 public:
  // @param self this node's record; its incarnation starts at the given value and only increases.
  // @param seed seed of this node's random choices.
  Membership(const MembershipSettings& settings, MemberRecord self, std::uint64_t seed,
             Timestamp now);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Adds initial contacts (option --peer), which are addresses whose ids are not known yet.
  void AddContacts(const std::vector<SocketAddress>& contacts);

  // Applies the platform's list of nodes. Unknown nodes are added as alive with incarnation 0;
  // records of known nodes are not overridden, and no node is marked dead. Nodes listed as leaving
  // lose their roles but stay members.
  void AddSeeds(Timestamp now, const std::vector<MemberRecord>& seeds);

  // Starts joining, or restarts it after a pause, by requesting the lists of up to join_contacts
  // peers.
  std::vector<OutgoingMessage> Join(Timestamp now);

  // Runs the probes, join requests and suspicion timers that are due. Must be called at or after
  // NextDeadline().
  std::vector<OutgoingMessage> Tick(Timestamp now);
  Timestamp NextDeadline() const;

  // Handles any message. The sender's summary counts as evidence whatever the body is; the bodies
  // of distribution messages are ignored here.
  std::vector<OutgoingMessage> Handle(Timestamp now, const SocketAddress& from,
                                      const Message& message);

  // Sets this node to kLeaving at a higher incarnation and announces that to several members.
  std::vector<OutgoingMessage> Leave(Timestamp now);

  // Sets what this node reports about itself in every summary.
  void SetVersions(const DocumentVersion& configuration, const DocumentVersion& machines);
  void SetRefused(const std::optional<RefusedVersion>& refused);
  NodeSummary Summary() const;

  const MemberRecord& self() const;
  // All members except this node by id, including suspect, leaving and dead ones.
  const std::map<NodeId, Member>& members() const;
  // Members that may hold a role or a place in a push tree (alive or suspect), including this node
  // if it is eligible, sorted by id. Each call copies the records, so frequent callers should cache
  // what they derive from them until EligibilityVersion() changes.
  std::vector<MemberRecord> Eligible() const;
  std::vector<MemberRecord> EligibleInZone(const ZoneName& zone) const;
  // Increases when a member becomes or ceases to be eligible, and when the zone or address of an
  // eligible member changes.
  std::uint64_t EligibilityVersion() const;
  // Number of nodes that are alive or suspect, including this one; at least 1.
  std::size_t LiveCount() const;

  // Number of nodes that have replied since the last Join(), and the highest configuration received
  // in a reply: one that a peer remembers this node to have run, or one that a peer runs itself.
  std::size_t JoinReplyCount() const;
  const DocumentVersion& HighestVersionReceived() const;

  // True once a peer has answered a probe or a join request since start or since the last Join().
  bool FleetAnswered() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace copperlead
