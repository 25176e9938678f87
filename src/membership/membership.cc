#include "membership/membership.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>

#include "membership/joiner.h"
#include "membership/list_exchange.h"
#include "membership/member_list.h"
#include "membership/prober.h"
#include "membership/random.h"
#include "membership/suspicion.h"
#include "membership/update_queue.h"

namespace copperlead {
namespace {

// After this many unanswered probes in a row the fault is more likely this node's own.
constexpr std::size_t kFailuresToDoubtItself = 4;
// Members told at once that this node leaves.
constexpr std::size_t kLeaveNotices = 8;
// Records in an answer to a JoinRequest beyond the bound on whole lists.
constexpr std::size_t kListSample = 16;
// Largest share of intervals in which a dead member is pinged, one in this many.
constexpr std::size_t kLeastIntervalsPerReconnect = 4;
// Dead members are looked through this often within forget_dead_after.
constexpr int kForgetChecks = 16;

bool IsDoubted(MemberState state) {
  return state == MemberState::kSuspect || state == MemberState::kDead;
}

using OutgoingMessages = std::vector<OutgoingMessage>;

}  // namespace

class Membership::Implementation {
 public:
  Implementation(const MembershipSettings& settings, MemberRecord self, std::uint64_t seed,
                 Timestamp now)
      : settings_(settings),
        random_(seed),
        members_(std::move(self)),
        prober_(settings_, random_, now),
        suspicions_(settings_.suspicion_timeout),
        joiner_(settings_, random_),
        exchange_(settings_, random_, now),
        next_forget_(now + settings_.forget_dead_after / kForgetChecks) {}

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
  NodeSummary Summary() const { return {members_.self(), machines_, members_.hash()}; }
  bool heard_fleet() const { return heard_fleet_; }

 private:
  // --- Time ---
  void VoidTimersAfterPause(Timestamp now);
  void VoidTimers(Timestamp now);
  void RunProber(Timestamp now, OutgoingMessages& out);
  void RunSuspicions(Timestamp now, OutgoingMessages& out);
  void PingDeadMember(OutgoingMessages& out);
  void ForgetDead(Timestamp now);

  // --- Verdicts of this node ---
  void ProbeFailed(Timestamp now, const NodeId& id, OutgoingMessages& out);
  void Declare(Timestamp now, MemberRecord statement);
  void ProbeAnswered(Timestamp now);

  // --- Statements of others ---
  void TakeSummary(Timestamp now, const NodeSummary& summary);
  void TakeUpdates(Timestamp now, const std::vector<MemberRecord>& updates);
  ApplyResult TakeStatement(Timestamp now, const MemberRecord& statement);
  void FollowChange(Timestamp now, const NodeId& id, ApplyResult result, bool was_doubted);
  void TakeStatementAboutSelf(const MemberRecord& statement);
  void TakeList(Timestamp now, const std::vector<MemberRecord>& list);

  // --- Messages by type; bodies of distribution need no more than their summary ---
  struct Envelope {
    const NodeSummary& sender;
    const SocketAddress& reply_to;
  };
  void On(Timestamp now, const Envelope& envelope, const Ping& ping, OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const PingAck& ack, OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const PingRequest& ask, OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const JoinRequest& ask, OutgoingMessages& out);
  void On(Timestamp now, const Envelope& envelope, const JoinReply& reply, OutgoingMessages& out);
  template <class Other>
  void On(Timestamp now, const Envelope& envelope, const Other&, OutgoingMessages& out) {
    Correct(now, envelope, out);
  }
  void Correct(Timestamp now, const Envelope& envelope, OutgoingMessages& out);
  void CompareHashes(Timestamp now, const Envelope& envelope, OutgoingMessages& out);

  // --- What to send ---
  std::vector<MemberRecord> UpdatesFor(const NodeId& receiver, std::uint32_t known_incarnation);
  std::vector<MemberRecord> WholeList() const;
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
  // Members that this node alone found suspect or dead while it doubted its own connection.
  std::set<NodeId> provisional_;
  Timestamp next_forget_{};
  Timestamp next_correction_{};
  bool heard_fleet_ = false;
};

// --- Calls of the owner ---

void Membership::Implementation::AddSeeds(Timestamp now, const std::vector<MemberRecord>& seeds) {
  for (const auto& seed : seeds) {
    if (seed.id.empty() || seed.id == members_.self().id) continue;
    members_.SetPlatformLeaving(seed.id, seed.state == MemberState::kLeaving);
    if (members_.Find(seed.id) != nullptr) continue;
    MemberRecord record = seed;
    record.state = MemberState::kAlive;
    record.incarnation = 0;
    members_.Apply(now, record);
    prober_.Include(record.id);
  }
}

OutgoingMessages Membership::Implementation::Join(Timestamp now) {
  VoidTimers(now);
  heard_fleet_ = false;
  joiner_.Start(now);
  exchange_.StartSettling(now);
  return Tick(now);
}

OutgoingMessages Membership::Implementation::Tick(Timestamp now) {
  OutgoingMessages out;
  VoidTimersAfterPause(now);
  for (const auto& address : joiner_.Advance(now, members_)) {
    out.push_back({address, JoinRequest{}});
  }
  RunSuspicions(now, out);
  RunProber(now, out);
  ForgetDead(now);
  return out;
}

Timestamp Membership::Implementation::NextDeadline() const {
  auto next = prober_.NextDeadline();
  if (const auto due = suspicions_.NextDeadline()) next = std::min(next, *due);
  if (const auto due = joiner_.NextDeadline()) next = std::min(next, *due);
  return next;
}

OutgoingMessages Membership::Implementation::Handle(Timestamp now, const SocketAddress& from,
                                                    const Message& message) {
  OutgoingMessages out;
  const auto& record = message.sender.record;
  if (record.id.empty()) return out;
  VoidTimersAfterPause(now);
  if (record.id == members_.self().id) {
    TakeStatementAboutSelf(record);
    return out;
  }
  TakeSummary(now, message.sender);
  const Envelope envelope{message.sender, record.address.empty() ? from : record.address};
  std::visit([&](const auto& body) { On(now, envelope, body, out); }, message.body);
  CompareHashes(now, envelope, out);
  return out;
}

OutgoingMessages Membership::Implementation::Leave(Timestamp now) {
  OutgoingMessages out;
  VoidTimersAfterPause(now);
  members_.SetSelf(MemberState::kLeaving, members_.self().incarnation + 1);
  const auto peers = PickPeers(random_, members_.Eligible(), kLeaveNotices, {members_.self().id});
  for (const auto& peer : peers) out.push_back(PingTo(peer.id, peer.address));
  return out;
}

// --- Time ---

// A call that comes later than its deadline by more than an interval means that the process slept:
// answers may have come and gone unread, so nothing measured before counts.
void Membership::Implementation::VoidTimersAfterPause(Timestamp now) {
  if (now - NextDeadline() > settings_.probe_interval) VoidTimers(now);
}

void Membership::Implementation::VoidTimers(Timestamp now) {
  prober_.Restart(now);
  suspicions_.RestartAll(now);
  queue_.Clear();
}

void Membership::Implementation::RunProber(Timestamp now, OutgoingMessages& out) {
  const auto step = prober_.Advance(now, members_);
  if (step.failed) ProbeFailed(now, *step.failed, out);
  if (step.target) {
    Ping ping{step.number, UpdatesFor(step.target->id, 0)};
    out.push_back({step.target->address, std::move(ping)});
    PingDeadMember(out);
  }
  for (const auto& relay : step.relays) {
    PingRequest ask{step.number, step.relay_target->id, step.relay_target->address,
                    UpdatesFor(relay.id, 0)};
    out.push_back({relay.address, std::move(ask)});
  }
}

void Membership::Implementation::RunSuspicions(Timestamp now, OutgoingMessages& out) {
  for (const auto& id : suspicions_.TakeReminders(now)) {
    const Member* member = members_.Find(id);
    if (member != nullptr) out.push_back(PingTo(id, member->record.address));
  }
  for (const auto& id : suspicions_.TakeExpired(now)) {
    const Member* member = members_.Find(id);
    if (member == nullptr || member->record.state == MemberState::kDead) continue;
    MemberRecord statement = member->record;
    statement.state = MemberState::kDead;
    Declare(now, std::move(statement));
  }
}

// Lets parts of the fleet that were cut off find each other again. The fleet as a whole pings each
// dead member about once per interval, whatever its size.
void Membership::Implementation::PingDeadMember(OutgoingMessages& out) {
  const auto missing = members_.dead_count() + joiner_.contacts().size();
  const auto intervals = std::max(members_.LiveCount() / std::max<std::size_t>(missing, 1),
                                  kLeastIntervalsPerReconnect);
  if (missing == 0 || RandomBelow(random_, intervals) != 0) return;
  std::set<SocketAddress> contacts(joiner_.contacts().begin(), joiner_.contacts().end());
  contacts.erase(members_.self().address);
  std::vector<ProbePeer> candidates;
  for (const auto& [id, member] : members_.members()) {
    if (member.record.state == MemberState::kDead) {
      candidates.push_back({id, member.record.address});
    } else {
      contacts.erase(member.record.address);
    }
  }
  for (const auto& contact : contacts) candidates.push_back({NodeId(), contact});
  if (candidates.empty()) return;
  const auto& chosen = candidates[RandomBelow(random_, candidates.size())];
  out.push_back(PingTo(chosen.id, chosen.address));
}

void Membership::Implementation::ForgetDead(Timestamp now) {
  if (now < next_forget_) return;
  next_forget_ = now + settings_.forget_dead_after / kForgetChecks;
  for (const auto& id : members_.ForgetDead(now, settings_.forget_dead_after)) {
    queue_.Remove(id);
    provisional_.erase(id);
  }
}

// --- Verdicts of this node ---

void Membership::Implementation::ProbeFailed(Timestamp now, const NodeId& id,
                                             OutgoingMessages& out) {
  const Member* member = members_.Find(id);
  if (member == nullptr || member->record.state == MemberState::kDead) return;
  if (member->record.state == MemberState::kAlive) {
    MemberRecord statement = member->record;
    statement.state = MemberState::kSuspect;
    Declare(now, std::move(statement));
  }
  suspicions_.Start(now, id, /*own_probe=*/true);
  if (!provisional_.contains(id)) out.push_back(PingTo(id, member->record.address));
}

// Takes and spreads a verdict; keeps it to itself while this node doubts its own connection.
void Membership::Implementation::Declare(Timestamp now, MemberRecord statement) {
  const bool doubts_itself = prober_.failures_in_a_row() >= kFailuresToDoubtItself;
  const bool provisional = doubts_itself || provisional_.contains(statement.id);
  const auto result = members_.Apply(now, statement);
  FollowChange(now, statement.id, result, /*was_doubted=*/false);
  if (!provisional) return;
  queue_.Remove(statement.id);
  provisional_.insert(statement.id);
}

// This node is connected after all: verdicts from the time when it doubted that are void.
void Membership::Implementation::ProbeAnswered(Timestamp now) {
  heard_fleet_ = true;
  prober_.ForgetFailures();
  for (const auto& id : std::exchange(provisional_, {})) {
    const Member* member = members_.Find(id);
    if (member == nullptr || !IsDoubted(member->record.state)) continue;
    members_.Restore(now, id);
    suspicions_.Stop(id);
    prober_.Include(id);
  }
}

// --- Statements of others ---

void Membership::Implementation::TakeSummary(Timestamp now, const NodeSummary& summary) {
  const NodeId& id = summary.record.id;
  const Member* before = members_.Find(id);
  const bool was_doubted = before != nullptr && IsDoubted(before->record.state);
  const auto result = members_.ApplySummary(now, summary);
  FollowChange(now, id, result, was_doubted);
}

void Membership::Implementation::TakeUpdates(Timestamp now,
                                             const std::vector<MemberRecord>& updates) {
  for (const auto& update : updates) TakeStatement(now, update);
}

ApplyResult Membership::Implementation::TakeStatement(Timestamp now,
                                                      const MemberRecord& statement) {
  if (statement.id.empty()) return ApplyResult::kUnchanged;
  if (statement.id == members_.self().id) {
    TakeStatementAboutSelf(statement);
    return ApplyResult::kUnchanged;
  }
  const Member* before = members_.Find(statement.id);
  const bool was_doubted = before != nullptr && IsDoubted(before->record.state);
  const auto result = members_.Apply(now, statement);
  const bool confirms = result == ApplyResult::kUnchanged && IsDoubted(statement.state) &&
                        !Outranks(members_.Find(statement.id)->record, statement);
  if (confirms) provisional_.erase(statement.id);
  FollowChange(now, statement.id, result, was_doubted);
  return result;
}

// Brings timers, the probing round and the queue in line with a changed record.
void Membership::Implementation::FollowChange(Timestamp now, const NodeId& id, ApplyResult result,
                                              bool was_doubted) {
  if (result == ApplyResult::kUnchanged) return;
  const auto state = members_.Find(id)->record.state;
  provisional_.erase(id);
  suspicions_.Stop(id);
  if (was_doubted && !IsDoubted(state)) suspicions_.NoteRefutation(now, id);
  if (state == MemberState::kSuspect) suspicions_.Start(now, id, /*own_probe=*/false);
  const bool joins_round = result == ApplyResult::kAdded || result == ApplyResult::kRevived;
  if (joins_round && state != MemberState::kDead) prober_.Include(id);
  queue_.Add(id);
}

// Refutes what is not so: this node outlives every statement about an earlier life of its own.
// News of this node needs no queue: every message carries its summary.
void Membership::Implementation::TakeStatementAboutSelf(const MemberRecord& statement) {
  const auto& self = members_.self();
  if (statement.incarnation < self.incarnation || statement.incarnation == UINT32_MAX) return;
  const bool wrongly_leaving =
      statement.state == MemberState::kLeaving && self.state != MemberState::kLeaving;
  const bool wrong = IsDoubted(statement.state) || wrongly_leaving;
  if (statement.incarnation == self.incarnation && !wrong) return;
  // Another live process under this id: the higher incarnation wins, without a race of refutations.
  const bool elsewhere = statement.address != self.address;
  if (elsewhere && statement.state != MemberState::kDead) return;
  members_.SetSelf(self.state, statement.incarnation + 1);
}

// A long list is news to this node only: spreading it would repeat the whole fleet.
void Membership::Implementation::TakeList(Timestamp now, const std::vector<MemberRecord>& list) {
  std::vector<NodeId> changed;
  for (const auto& record : list) {
    const bool unknown_dead = record.state == MemberState::kDead && !record.id.empty() &&
                              record.id != members_.self().id &&
                              members_.Find(record.id) == nullptr;
    if (unknown_dead) {
      if (joiner_.joining()) members_.AddRemembered(now, record);
      continue;
    }
    if (TakeStatement(now, record) != ApplyResult::kUnchanged) changed.push_back(record.id);
  }
  exchange_.NoteList(now, changed.size(), members_.members().size());
  if (changed.size() <= settings_.max_updates_per_message) return;
  for (const auto& id : changed) queue_.Remove(id);
}

// --- Messages ---

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

// --- The public face ---

Membership::Membership(const MembershipSettings& settings, MemberRecord self, std::uint64_t seed,
                       Timestamp now)
    : implementation_(std::make_unique<Implementation>(settings, std::move(self), seed, now)) {}

Membership::~Membership() = default;

void Membership::AddContacts(const std::vector<SocketAddress>& contacts) {
  implementation_->joiner().AddContacts(contacts);
}

void Membership::AddSeeds(Timestamp now, const std::vector<MemberRecord>& seeds) {
  implementation_->AddSeeds(now, seeds);
}

std::vector<OutgoingMessage> Membership::Join(Timestamp now) { return implementation_->Join(now); }

std::vector<OutgoingMessage> Membership::Tick(Timestamp now) { return implementation_->Tick(now); }

Timestamp Membership::NextDeadline() const { return implementation_->NextDeadline(); }

std::vector<OutgoingMessage> Membership::Handle(Timestamp now, const SocketAddress& from,
                                                const Message& message) {
  return implementation_->Handle(now, from, message);
}

std::vector<OutgoingMessage> Membership::Leave(Timestamp now) {
  return implementation_->Leave(now);
}

void Membership::SetVersions(const DocumentVersion& configuration,
                             const DocumentVersion& machines) {
  implementation_->members().SetSelfConfiguration(configuration);
  implementation_->machines() = machines;
}

NodeSummary Membership::Summary() const { return implementation_->Summary(); }

const MemberRecord& Membership::self() const { return implementation_->members().self(); }

const std::map<NodeId, Member>& Membership::members() const {
  return implementation_->members().members();
}

const std::vector<MemberRecord>& Membership::Eligible() const {
  return implementation_->members().Eligible();
}

const std::vector<MemberRecord>& Membership::EligibleInZone(const ZoneName& zone) const {
  return implementation_->members().EligibleInZone(zone);
}

std::uint64_t Membership::EligibilityVersion() const {
  return implementation_->members().eligibility_version();
}

std::size_t Membership::LiveCount() const { return implementation_->members().LiveCount(); }

std::size_t Membership::JoinReplies() const { return implementation_->joiner().answers(); }

const DocumentVersion& Membership::HighestHeard() const {
  return implementation_->joiner().highest_heard();
}

bool Membership::HeardFleet() const { return implementation_->heard_fleet(); }

}  // namespace copperlead
