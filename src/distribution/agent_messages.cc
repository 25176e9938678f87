// The part of an Agent that handles messages from peers and status requests from operators.
#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "distribution/agent_implementation.h"
#include "distribution/reader_election.h"
#include "distribution/version_order.h"

namespace copperlead {
namespace {

// Maximum number of members that are asked for their summary per StatusRequested.
constexpr std::size_t kMaxStatusQueries = 50;

}  // namespace

void Agent::Implementation::On(Timestamp now, const MessageReceived& event) {
  const Message& message = *event.message;
  outbox_.Send(membership_.Handle(now, event.from, message));
  MemberRecord sender = message.sender.record;
  if (sender.id == membership_.self().id) return;
  join_gate_.RecordMessage();
  ProcessSummary(now, message.sender);
  std::visit([&](const auto& body) { OnBody(now, sender, body); }, message.body);
}

void Agent::Implementation::ProcessSummary(Timestamp now, const NodeSummary& sender) {
  const MemberRecord& record = sender.record;
  if (sender.refused) fleet_refusal_.Record(*sender.refused);
  if (join_gate_.waiting()) configuration_.ledger().RaiseFloor(record.configuration);
  configuration_pusher_.RecordVersion(record.id, record.configuration);
  machine_pusher_.RecordVersion(record.id, sender.machines);
  if (Repairs(StreamKind::kConfiguration)) {
    configuration_repairer_.RecordVersion(now, record, record.configuration);
  }
  if (Repairs(StreamKind::kMachines)) machine_repairer_.RecordVersion(now, record, sender.machines);
}

void Agent::Implementation::OnBody(Timestamp /*now*/, const MemberRecord& sender,
                                   const JoinReply& reply) {
  join_gate_.RecordReply(sender.id);
  configuration_.ledger().RaiseFloor(reply.remembered);
  configuration_.ledger().RaiseFloor(membership_.HighestVersionReceived());
}

void Agent::Implementation::OnBody(Timestamp now, const MemberRecord& sender, const Push& push) {
  const StreamKind kind = push.transfer.stream;
  DocumentStream& stream = StreamOf(kind);
  const ReceiveResult result = stream.Receive(now, push.transfer, sender.id);
  if (result == ReceiveResult::kUnknownBase || result == ReceiveResult::kUndecodable) {
    RequestDecodable(now, sender, push.transfer, result);
    return;
  }
  EtagOf(kind).RecordPeerEtag(push.transfer.version, push.source_tag);
  RepairerOf(kind).OnAnswer(sender.id);
  const bool taken = result == ReceiveResult::kTaken;
  if (taken && kind == StreamKind::kMachines) SeedMembership(now);
  const bool settled = !IsNewer(push.transfer.version, stream.running());
  if (settled) outbox_.Send(sender.address, PushAck{kind, stream.running()});
  if (stream.running() == push.transfer.version) ForwardPush(now, sender, push, taken);
}

void Agent::Implementation::RequestDecodable(Timestamp now, const MemberRecord& sender,
                                             const Transfer& transfer, ReceiveResult result) {
  Repairer& repairer = RepairerOf(transfer.stream);
  if (transfer.is_full()) {
    repairer.OnUndecodable(now);
    return;
  }
  const bool lacks_base = result == ReceiveResult::kUnknownBase;
  const DocumentVersion have = lacks_base ? StreamOf(transfer.stream).running() : DocumentVersion{};
  repairer.PullFrom(now, sender, transfer.version, have);
}

// Other zones choose the reader or a standby of this zone. Any other node receives such a push only
// if a wrong entry of the machine list made the sender take it for a member of its own zone.
bool Agent::Implementation::MayStartPushInZone(Timestamp now) {
  view_.Refresh(now);
  return view_.own_rank() <= kStandbyRank;
}

// Forwards a version that a peer sent. For a version from another zone, the push in this zone is
// started by the node that the other zone chose, or by the reader if it had to pull the version.
void Agent::Implementation::ForwardPush(Timestamp now, const MemberRecord& sender, const Push& push,
                                        bool taken) {
  if (!Pushes() || leaving_) return;
  Pusher& pusher = PusherOf(push.transfer.stream);
  const bool from_other_zone = sender.zone != membership_.self().zone;
  const bool pulled = push.root.empty();
  if (pulled) {
    if (taken && from_other_zone && poller_.is_reader()) pusher.PushInZone(now);
  } else if (from_other_zone && MayStartPushInZone(now)) {
    pusher.PushInZone(now);
  } else {
    pusher.Forward(now, push.root);
  }
}

void Agent::Implementation::OnBody(Timestamp /*now*/, const MemberRecord& sender,
                                   const PushAck& acknowledgement) {
  PusherOf(acknowledgement.stream).RecordVersion(sender.id, acknowledgement.version);
}

void Agent::Implementation::OnBody(Timestamp now, const MemberRecord& sender, const Pull& pull) {
  DocumentStream& stream = StreamOf(pull.stream);
  if (!Supersedes(stream.running(), pull.have)) return;
  if (PusherOf(pull.stream).ResendFrom(now, sender.id, pull.have)) return;
  Transfer transfer = stream.TransferFrom(pull.have);
  if (transfer.is_full() && !whole_transfer_limiter_.TryAdmit(now)) {
    const auto wait = std::chrono::ceil<Milliseconds>(whole_transfer_limiter_.RetryDelay(now));
    outbox_.Send(sender.address, Busy{pull.stream, static_cast<std::uint32_t>(wait.count())});
    return;
  }
  std::string etag = EtagOf(pull.stream).EtagToForward(transfer.version);
  outbox_.Send(sender.address, Push{std::move(transfer), {}, std::move(etag)});
}

void Agent::Implementation::OnBody(Timestamp now, const MemberRecord& sender, const Busy& busy) {
  RepairerOf(busy.stream).OnBusy(now, sender.id, Milliseconds(busy.retry_after_ms));
}

void Agent::Implementation::OnBody(Timestamp /*now*/, const MemberRecord& sender,
                                   const StatusQuery& /*query*/) {
  outbox_.Send(sender.address, StatusReply{});
}

// Asks members that may lag for their summary, a bounded number per request and in turn. A member
// that is known to run this node's version is not asked, because it never runs a lower one.
void Agent::Implementation::On(Timestamp /*now*/, const StatusRequested& /*event*/) {
  const std::map<NodeId, Member>& members = membership_.members();
  auto next = members.upper_bound(status_cursor_);
  std::size_t asked = 0;
  for (std::size_t seen = 0; seen < members.size() && asked < kMaxStatusQueries; ++seen) {
    if (next == members.end()) next = members.begin();
    const MemberRecord& record = next->second.record;
    const bool live = record.state != MemberState::kDead;
    if (live && IsNewer(configuration_.running(), record.configuration)) {
      outbox_.Send(record.address, StatusQuery{});
      status_cursor_ = record.id;
      ++asked;
    }
    ++next;
  }
}

}  // namespace copperlead
