// The parts of Membership and how they work together. Private to src/membership. The functions are
// defined in membership.cc, membership_timers.cc, membership_statements.cc and
// membership_messages.cc.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "membership/joiner.h"
#include "membership/list_exchange.h"
#include "membership/member_list.h"
#include "membership/membership.h"
#include "membership/prober.h"
#include "membership/random.h"
#include "membership/suspicion.h"
#include "membership/update_queue.h"

namespace copperlead {

// True for the states that a member refutes when it receives them about itself.
inline bool IsSuspectOrDead(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

class Membership::Implementation {
 public:
  using OutgoingMessages = std::vector<OutgoingMessage>;

  Implementation(const MembershipSettings& settings, MemberRecord self, std::uint64_t seed,
                 Timestamp now)
      : settings_(settings),
        random_(seed),
        members_(std::move(self)),
        prober_(settings_, random_, now),
        suspicions_(settings_.suspicion_timeout),
        joiner_(settings_, random_),
        exchange_(settings_, random_, now),
        next_forget_(now) {}

  void AddSeeds(Timestamp now, const std::vector<MemberRecord>& seeds);
  OutgoingMessages Join(Timestamp now);
  OutgoingMessages Tick(Timestamp now);
  Timestamp NextDeadline() const;
  OutgoingMessages Handle(Timestamp now, const SocketAddress& from, const Message& message);
  OutgoingMessages Leave(Timestamp now);

  MemberList& members() { return members_; }
  const MemberList& members() const { return members_; }
  Joiner& joiner() { return joiner_; }
  const Joiner& joiner() const { return joiner_; }
  DocumentVersion& machines() { return machines_; }
  std::optional<RefusedVersion>& refused() { return refused_; }
  NodeSummary Summary() const { return {members_.self(), machines_, members_.hash(), refused_}; }
  bool fleet_answered() const { return fleet_answered_; }

 private:
  // --- Timers ---
  void ResetTimersAfterPause(Timestamp now);
  void ResetTimers(Timestamp now);
  void RunProber(Timestamp now, OutgoingMessages& out);
  void RunSuspicions(Timestamp now, OutgoingMessages& out);
  void PingDeadMember(OutgoingMessages& out);
  void ForgetDead(Timestamp now);

  // --- Verdicts of this node ---
  void OnProbeFailed(Timestamp now, const NodeId& id, OutgoingMessages& out);
  void Declare(Timestamp now, const MemberRecord& statement, bool provisional);
  void OnPeerAnswered(Timestamp now);

  // --- Statements from other nodes ---
  void ApplySummary(Timestamp now, const NodeSummary& summary);
  void ApplyUpdates(Timestamp now, const std::vector<MemberRecord>& updates);
  ApplyResult ApplyStatement(Timestamp now, const MemberRecord& statement);
  void OnRecordChanged(Timestamp now, const NodeId& id, ApplyResult result,
                       bool was_suspect_or_dead);
  void ApplyStatementAboutSelf(const MemberRecord& statement);
  void ApplyList(Timestamp now, const std::vector<MemberRecord>& list);

  // --- Messages by type; only the summary of distribution messages is used ---
  struct Envelope {
    const NodeSummary& sender;
    const SocketAddress& reply_to;
  };
  void On(Timestamp now, const Envelope& envelope, const Ping& ping, OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const PingAck& ack, OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const PingRequest& request,
          OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const JoinRequest& request,
          OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const JoinReply& reply, OutgoingMessages& out);
  template <class Other>
  void On(Timestamp now, const Envelope& envelope, const Other&, OutgoingMessages& out) {
    CorrectSender(now, envelope, out);
  }
  void CorrectSender(Timestamp now, const Envelope& envelope, OutgoingMessages& out);
  void CompareHashes(Timestamp now, const Envelope& envelope, OutgoingMessages& out);

  // --- What to send ---
  std::vector<MemberRecord> UpdatesFor(const NodeId& receiver, std::uint32_t known_incarnation);
  std::vector<MemberRecord> FullList() const;
  std::vector<MemberRecord> ListFor(Timestamp now);
  std::vector<MemberRecord> MissingIn(const std::vector<MemberRecord>& list) const;
  DocumentVersion RememberedOf(const NodeId& id) const;
  OutgoingMessage PingTo(const NodeId& id, const SocketAddress& address);

  const MembershipSettings settings_;
  RandomEngine random_;
  MemberList members_;
  UpdateQueue queue_;
  Prober prober_;
  SuspicionTable suspicions_;
  Joiner joiner_;
  ListExchange exchange_;
  DocumentVersion machines_;
  std::optional<RefusedVersion> refused_;
  // Members that only this node holds suspect or dead, found while its own connection was in doubt.
  std::set<NodeId> provisional_;
  Timestamp next_forget_{};
  Timestamp next_correction_{};
  bool fleet_answered_ = false;
};

}  // namespace copperlead
