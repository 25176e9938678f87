#include <algorithm>
#include <map>
#include <utility>

#include "membership/membership_implementation.h"

namespace copperlead {
namespace {

// Records in an answer to a JoinRequest beyond the bound on whole lists.
constexpr std::size_t kListSample = 16;

}  // namespace

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const Ping& ping,
                                    OutgoingMessages& out) {
  TakeUpdates(now, ping.updates);
  const auto& sender = envelope.sender.record;
  PingAck ack{ping.number, UpdatesFor(sender.id, sender.incarnation)};
  out.push_back({envelope.reply_to, std::move(ack)});
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const PingAck& ack,
                                    OutgoingMessages& out) {
  TakeUpdates(now, ack.updates);
  const auto& sender = envelope.sender.record.id;
  if (prober_.TakeAnswer(ack.number, sender)) ProbeAnswered(now);
  if (const auto relayed = prober_.TakeRelayAnswer(ack.number, sender)) {
    out.push_back({relayed->requester, PingAck{relayed->number, {}}});
  }
  Correct(now, envelope, out);
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const PingRequest& ask,
                                    OutgoingMessages& out) {
  TakeUpdates(now, ask.updates);
  const auto number = prober_.StartRelay(now, envelope.reply_to, ask.number, ask.target_id);
  if (number) out.push_back({ask.target, Ping{*number, UpdatesFor(ask.target_id, 0)}});
  Correct(now, envelope, out);
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const JoinRequest&,
                                    OutgoingMessages& out) {
  JoinReply reply{RememberedOf(envelope.sender.record.id), ListFor(now)};
  const Member* asker = members_.Find(envelope.sender.record.id);
  const bool listed = std::any_of(
      reply.members.begin(), reply.members.end(),
      [&](const MemberRecord& record) { return record.id == envelope.sender.record.id; });
  if (asker != nullptr && !listed) reply.members.push_back(asker->record);
  out.push_back({envelope.reply_to, std::move(reply)});
}

void Membership::Implementation::On(Timestamp now, const Envelope& envelope, const JoinReply& reply,
                                    OutgoingMessages& out) {
  const auto& sender = envelope.sender.record;
  ProbeAnswered(now);
  TakeList(now, reply.members);
  joiner_.TakeAnswer(sender.id, reply.remembered, sender.configuration);
  if (!exchange_.TakeAnswer(sender.id)) return;
  auto missing = MissingIn(reply.members);
  if (missing.empty()) return;
  out.push_back({envelope.reply_to, JoinReply{RememberedOf(sender.id), std::move(missing)}});
}

// Tells a sender that does not know it what the fleet believes of it, at most one per interval:
// only the sender itself can refute. (Answers to Ping and JoinRequest tell it anyway.)
void Membership::Implementation::Correct(Timestamp now, const Envelope& envelope,
                                         OutgoingMessages& out) {
  const auto& sender = envelope.sender.record;
  const auto& held = members_.Find(sender.id)->record;
  const bool right = !IsDoubted(held.state) && held.incarnation <= sender.incarnation;
  if (right || provisional_.contains(sender.id) || now < next_correction_) return;
  next_correction_ = now + settings_.probe_interval;
  Ping ping{prober_.NextNumber(), UpdatesFor(sender.id, sender.incarnation)};
  out.push_back({envelope.reply_to, std::move(ping)});
}

void Membership::Implementation::CompareHashes(Timestamp now, const Envelope& envelope,
                                               OutgoingMessages& out) {
  if (joiner_.joining()) return;
  const ExchangeLoad load{queue_.size(), members_.LiveCount()};
  const auto advice = exchange_.Compare(now, envelope.sender, members_.hash(), load);
  if (advice == ExchangeAdvice::kAskForList) out.push_back({envelope.reply_to, JoinRequest{}});
  if (advice == ExchangeAdvice::kDropQueue) queue_.Clear();
}

// --- What to send ---

// What the receiver must hear of itself comes first, then queued news.
std::vector<MemberRecord> Membership::Implementation::UpdatesFor(const NodeId& receiver,
                                                                 std::uint32_t known_incarnation) {
  std::vector<MemberRecord> updates;
  const Member* member = members_.Find(receiver);
  if (member != nullptr && !provisional_.contains(receiver)) {
    const bool outdated = known_incarnation > 0 && member->record.incarnation > known_incarnation;
    if (IsDoubted(member->record.state) || outdated) updates.push_back(member->record);
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

// Without verdicts that this node keeps to itself and without what it only knows from other lists.
std::vector<MemberRecord> Membership::Implementation::WholeList() const {
  std::vector<MemberRecord> list;
  list.reserve(members_.members().size());
  for (const auto& [id, member] : members_.members()) {
    if (member.remembered_by_others) continue;
    list.push_back(member.record);
    if (provisional_.contains(id)) list.back().state = MemberState::kAlive;
  }
  return list;
}

std::vector<MemberRecord> Membership::Implementation::ListFor(Timestamp now) {
  const bool small = members_.members().size() <= kListSample;
  if (small || exchange_.AdmitWholeList(now)) return WholeList();
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
  for (const auto& record : WholeList()) {
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
