#include <algorithm>
#include <map>
#include <utility>

#include "membership/membership_implementation.h"

namespace copperlead {
namespace {

// Number of records in a JoinReply once the limit of full lists is reached.
constexpr std::size_t kListSample = 16;

}  // namespace

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const Ping& ping,
                                    OutgoingMessages& out) {
  ApplyUpdates(now, ping.updates);
  const auto& sender = envelope.sender.record;
  PingAck ack{ping.number, UpdatesFor(sender.id, sender.incarnation)};
  out.push_back({envelope.reply_to, std::move(ack)});
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const PingAck& ack,
                                    OutgoingMessages& out) {
  ApplyUpdates(now, ack.updates);
  const auto& sender = envelope.sender.record.id;
  if (prober_.RecordAnswer(ack.number, sender)) OnPeerAnswered(now);
  if (const auto relayed = prober_.TakeRelayedAnswer(ack.number, sender)) {
    out.push_back({relayed->requester, PingAck{relayed->number, {}}});
  }
  CorrectSender(now, envelope, out);
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope,
                                    const PingRequest& request, OutgoingMessages& out) {
  ApplyUpdates(now, request.updates);
  const auto number = prober_.StartRelay(now, envelope.reply_to, request.number, request.target_id);
  if (number) out.push_back({request.target, Ping{*number, UpdatesFor(request.target_id, 0)}});
  CorrectSender(now, envelope, out);
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const JoinRequest&,
                                    OutgoingMessages& out) {
  JoinReply reply{RememberedOf(envelope.sender.record.id), ListFor(now)};
  const Member* requester = members_.Find(envelope.sender.record.id);
  const bool listed = std::any_of(
      reply.members.begin(), reply.members.end(),
      [&](const MemberRecord& record) { return record.id == envelope.sender.record.id; });
  if (requester != nullptr && !listed) reply.members.push_back(requester->record);
  out.push_back({envelope.reply_to, std::move(reply)});
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const JoinReply& reply,
                                    OutgoingMessages& out) {
  const auto& sender = envelope.sender.record;
  OnPeerAnswered(now);
  ApplyList(now, reply.members);
  joiner_.RecordReply(sender.id, reply.remembered, sender.configuration);
  if (!exchange_.TakePendingReply(sender.id)) return;
  auto missing = MissingIn(reply.members);
  if (missing.empty()) return;
  out.push_back({envelope.reply_to, JoinReply{RememberedOf(sender.id), std::move(missing)}});
}

// Reports the record that this node holds of a sender back to it if the record is suspect, dead or
// newer than the sender's own, because only the sender can refute it. At most one such message is
// sent per interval. Answers to Ping and JoinRequest contain the record anyway.
void Membership::Implementation::CorrectSender(Timestamp now, const Envelope& envelope,
                                               OutgoingMessages& out) {
  const auto& sender = envelope.sender.record;
  const auto& held = members_.Find(sender.id)->record;
  const bool is_current = !IsSuspectOrDead(held.state) && held.incarnation <= sender.incarnation;
  if (is_current || provisional_.contains(sender.id) || now < next_correction_) return;
  next_correction_ = now + settings_.probe_interval;
  Ping ping{prober_.NextNumber(), UpdatesFor(sender.id, sender.incarnation)};
  out.push_back({envelope.reply_to, std::move(ping)});
}

void Membership::Implementation::CompareHashes(Timestamp now, const Envelope& envelope,
                                               OutgoingMessages& out) {
  if (joiner_.joining()) return;
  const ExchangeLoad load{queue_.size(), members_.LiveCount()};
  const auto advice = exchange_.Compare(now, envelope.sender, members_.hash(), load);
  if (advice == ExchangeAdvice::kRequestList) out.push_back({envelope.reply_to, JoinRequest{}});
  if (advice == ExchangeAdvice::kClearQueue) queue_.Clear();
}

// --- What to send ---

// A record that the receiver must refute or does not know about itself comes first, then the queued
// updates.
std::vector<MemberRecord> Membership::Implementation::UpdatesFor(const NodeId& receiver,
                                                                 std::uint32_t known_incarnation) {
  std::vector<MemberRecord> updates;
  const Member* member = members_.Find(receiver);
  if (member != nullptr && !provisional_.contains(receiver)) {
    const bool outdated = known_incarnation > 0 && member->record.incarnation > known_incarnation;
    if (IsSuspectOrDead(member->record.state) || outdated) updates.push_back(member->record);
  }
  const auto send_limit = SendLimit(settings_.retransmit_factor, members_.LiveCount());
  const auto limit = settings_.max_updates_per_message;
  const auto room = limit > updates.size() ? limit - updates.size() : 0;
  for (const auto& id : queue_.Take(room, send_limit)) {
    const Member* subject = members_.Find(id);
    if (subject == nullptr || id == receiver) continue;
    updates.push_back(subject->record);
  }
  return updates;
}

// Leaves out provisional verdicts and the dead members known only from other nodes' lists.
std::vector<MemberRecord> Membership::Implementation::FullList() const {
  std::vector<MemberRecord> list;
  list.reserve(members_.members().size());
  for (const auto& [id, member] : members_.members()) {
    if (member.known_from_other_list) continue;
    list.push_back(member.record);
    if (provisional_.contains(id)) list.back().state = MemberState::kAlive;
  }
  return list;
}

std::vector<MemberRecord> Membership::Implementation::ListFor(Timestamp now) {
  const bool small = members_.members().size() <= kListSample;
  if (small || exchange_.TryAdmitFullList(now)) return FullList();
  std::vector<MemberRecord> sample;
  for (const auto& peer :
       PickPeers(random_, members_.Eligible(), kListSample, {members_.self().id})) {
    sample.push_back(members_.Find(peer.id)->record);
  }
  return sample;
}

std::vector<MemberRecord> Membership::Implementation::MissingIn(
    const std::vector<MemberRecord>& list) const {
  std::map<NodeId, const MemberRecord*> theirs;
  for (const auto& record : list) theirs[record.id] = &record;
  const bool may_be_sample = list.size() <= kListSample + 1;
  std::vector<MemberRecord> missing;
  for (const auto& record : FullList()) {
    const auto found = theirs.find(record.id);
    const bool unknown = found == theirs.end();
    const bool dead = record.state == MemberState::kDead;
    if (unknown && (dead || may_be_sample)) continue;
    if (unknown || Outranks(record, *found->second)) missing.push_back(record);
  }
  return missing;
}

DocumentVersion Membership::Implementation::RememberedOf(const NodeId& id) const {
  const Member* member = members_.Find(id);
  return member == nullptr ? DocumentVersion{} : member->record.configuration;
}

OutgoingMessage Membership::Implementation::PingTo(const NodeId& id, const SocketAddress& address) {
  return {address, Ping{prober_.NextNumber(), UpdatesFor(id, 0)}};
}

}  // namespace copperlead
