// The parts of an Agent and the dispatch of events to them. Private to the distribution module.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "distribution/admission.h"
#include "distribution/agent.h"
#include "distribution/configuration_stream.h"
#include "distribution/fleet_refusal.h"
#include "distribution/fleet_view.h"
#include "distribution/join_gate.h"
#include "distribution/machine_stream.h"
#include "distribution/outbox.h"
#include "distribution/pusher.h"
#include "distribution/repairer.h"
#include "distribution/source_etag.h"
#include "distribution/source_poller.h"

namespace copperlead {

class Agent::Implementation {
 public:
  Implementation(const AgentSettings& settings, MemberRecord self,
                 const std::vector<SocketAddress>& contacts, std::uint64_t seed, Timestamp now);

  std::vector<Action> Step(Timestamp now, const Event& event);

  AgentSettings settings_;
  Outbox outbox_;
  Membership membership_;
  FleetView view_;
  FleetRefusal fleet_refusal_;
  ConfigurationStream configuration_;
  MachineStream machines_;
  std::array<SourceEtag, kStreamCount> etags_;
  Pusher configuration_pusher_;
  Pusher machine_pusher_;
  Repairer configuration_repairer_;
  Repairer machine_repairer_;
  SourcePoller poller_;
  TransferRateLimiter whole_transfer_limiter_;
  JoinGate join_gate_;
  Timestamp deadline_;  // Deadline returned last.
  bool started_ = false;
  bool leaving_ = false;
  bool rejoined_after_seeding_ = false;
  MachineListPointer seeded_list_;   // List whose nodes were last added to membership.
  DocumentVersion version_at_read_;  // Version that ran when the source was last read.
  NodeId status_cursor_;             // Last member that was queried.

 private:
  void On(Timestamp now, const TimerFired& event);
  void On(Timestamp now, const MessageReceived& event);
  void On(Timestamp now, const SourceAnswered& event);
  void On(Timestamp now, const StopRequested& event);
  void On(Timestamp now, const StatusRequested& event);

  void OnBody(Timestamp now, const MemberRecord& sender, const Push& push);
  void OnBody(Timestamp now, const MemberRecord& sender, const PushAck& acknowledgement);
  void OnBody(Timestamp now, const MemberRecord& sender, const Pull& pull);
  void OnBody(Timestamp now, const MemberRecord& sender, const Busy& busy);
  void OnBody(Timestamp now, const MemberRecord& sender, const JoinReply& reply);
  void OnBody(Timestamp now, const MemberRecord& sender, const StatusQuery& query);
  template <class Other>
  void OnBody(Timestamp /*now*/, const MemberRecord& /*sender*/, const Other& /*body*/) {}

  void RequestDecodable(Timestamp now, const MemberRecord& sender, const Transfer& transfer,
                        ReceiveResult result);
  bool MayStartPushInZone(Timestamp now);
  void ForwardPush(Timestamp now, const MemberRecord& sender, const Push& push, bool taken);

  void Start(Timestamp now);
  void ResetAfterPause(Timestamp now);
  void BeginJoin(Timestamp now);
  void UpdateJoinGate(Timestamp now);
  void UpdateRefusal();
  void ProcessSummary(Timestamp now, const NodeSummary& sender);
  void RunDueWork(Timestamp now);
  void PollSource(Timestamp now);
  void OnNotModified(const SourceAnswered& event);
  void HandleSourceMachines(Timestamp now, const SourceAnswered& event);
  void HandleSourceConfiguration(Timestamp now, const SourceAnswered& event);
  void PushFromSource(Timestamp now, Pusher& pusher);
  void SeedMembership(Timestamp now);
  void RejoinAfterSeeding(Timestamp now);
  void UpdateDeadline(Timestamp now);

  DocumentStream& StreamOf(StreamKind kind);
  SourceEtag& EtagOf(StreamKind kind);
  Pusher& PusherOf(StreamKind kind);
  Repairer& RepairerOf(StreamKind kind);
  bool Pushes() const;
  bool Repairs(StreamKind kind);
};

}  // namespace copperlead
