#include "membership/membership.h"

#include <utility>
#include <variant>

#include "membership/membership_implementation.h"

namespace copperlead {
namespace {

// Number of members that are notified directly when this node leaves.
constexpr std::size_t kLeaveNotices = 8;

}  // namespace

void Membership::Implementation::AddSeeds(Timestamp now, const std::vector<MemberRecord>& seeds) {
  for (const auto& seed : seeds) {
    if (seed.id.empty() || seed.id == members_.self().id) continue;
    members_.SetPlatformLeaving(seed.id, seed.state == MemberState::kLeaving);
    if (members_.Find(seed.id) != nullptr) continue;
    MemberRecord record = seed;
    record.state = MemberState::kAlive;
    record.incarnation = 0;
    members_.Apply(now, record);
    prober_.AddToRound(record.id);
  }
}

std::vector<OutgoingMessage> Membership::Implementation::Join(Timestamp now) {
  ResetTimers(now);
  fleet_answered_ = false;
  joiner_.Start(now);
  exchange_.StartSettling(now);
  return Tick(now);
}

std::vector<OutgoingMessage> Membership::Implementation::Tick(Timestamp now) {
  OutgoingMessages out;
  ResetTimersAfterPause(now);
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

std::vector<OutgoingMessage> Membership::Implementation::Handle(Timestamp now,
                                                                const SocketAddress& from,
                                                                const Message& message) {
  OutgoingMessages out;
  const auto& record = message.sender.record;
  if (record.id.empty()) return out;
  ResetTimersAfterPause(now);
  if (record.id == members_.self().id) {
    ApplyStatementAboutSelf(record);
    return out;
  }
  ApplySummary(now, message.sender);
  const Envelope envelope{message.sender, record.address.empty() ? from : record.address};
  std::visit([&](const auto& body) { On(now, envelope, body, out); }, message.body);
  CompareHashes(now, envelope, out);
  return out;
}

std::vector<OutgoingMessage> Membership::Implementation::Leave(Timestamp now) {
  OutgoingMessages out;
  ResetTimersAfterPause(now);
  members_.SetSelf(MemberState::kLeaving, members_.self().incarnation + 1);
  const auto peers = PickPeers(random_, members_.Eligible(), kLeaveNotices, {members_.self().id});
  for (const auto& peer : peers) out.push_back(PingTo(peer.id, peer.address));
  return out;
}

// --- Public interface ---

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

void Membership::SetRefused(const std::optional<RefusedVersion>& refused) {
  implementation_->refused() = refused;
}

NodeSummary Membership::Summary() const { return implementation_->Summary(); }

const MemberRecord& Membership::self() const { return implementation_->members().self(); }

const std::map<NodeId, Member>& Membership::members() const {
  return implementation_->members().members();
}

std::vector<MemberRecord> Membership::Eligible() const {
  const auto& eligible = implementation_->members().Eligible();
  std::vector<MemberRecord> records;
  records.reserve(eligible.size());
  for (const MemberRecord* record : eligible) records.push_back(*record);
  return records;
}

std::vector<MemberRecord> Membership::EligibleInZone(const ZoneName& zone) const {
  std::vector<MemberRecord> records;
  for (const MemberRecord* record : implementation_->members().Eligible()) {
    if (record->zone == zone) records.push_back(*record);
  }
  return records;
}

std::uint64_t Membership::EligibilityVersion() const {
  return implementation_->members().eligibility_version();
}

std::size_t Membership::LiveCount() const { return implementation_->members().LiveCount(); }

std::size_t Membership::JoinReplyCount() const { return implementation_->joiner().reply_count(); }

const DocumentVersion& Membership::HighestVersionReceived() const {
  return implementation_->joiner().highest_version_received();
}

bool Membership::FleetAnswered() const { return implementation_->fleet_answered(); }

}  // namespace copperlead
