#include "membership/member_list.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

// Order of statements with equal incarnation.
int Rank(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kLeaving:
      return 2;
    case MemberState::kDead:
      break;
  }
  return 3;
}

bool IsLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

std::uint64_t HashOf(const MemberRecord& record) {
  constexpr unsigned kStateBits = 8;
  const auto seed = (static_cast<std::uint64_t>(record.incarnation) << kStateBits) |
                    static_cast<std::uint64_t>(record.state);
  return XXH3_64bits_withSeed(record.id.data(), record.id.size(), seed);
}

// True when replacing `before` by `after` changes eligibility, or the zone or address of an
// eligible member.
bool AffectsEligibility(const MemberRecord& before, const MemberRecord& after) {
  const bool stays = IsLive(before.state) && IsLive(after.state);
  if (!stays) return IsLive(before.state) != IsLive(after.state);
  return before.zone != after.zone || before.address != after.address;
}

}  // namespace

bool Outranks(const MemberRecord& statement, const MemberRecord& held) {
  if (statement.incarnation != held.incarnation) return statement.incarnation > held.incarnation;
  return Rank(statement.state) > Rank(held.state);
}

MemberList::MemberList(MemberRecord self) : self_(std::move(self)) { hash_ ^= HashOf(self_); }

void MemberList::SetSelf(MemberState state, std::uint32_t incarnation) {
  hash_ ^= HashOf(self_);
  self_.state = state;
  self_.incarnation = incarnation;
  hash_ ^= HashOf(self_);
  ++eligibility_version_;
}

void MemberList::SetSelfConfiguration(const DocumentVersion& configuration) {
  if (IsNewer(self_.configuration, configuration)) return;
  self_.configuration = configuration;
}

const Member* MemberList::Find(const NodeId& id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

ApplyResult MemberList::Apply(Timestamp now, const MemberRecord& statement) {
  const auto found = members_.find(statement.id);
  if (found == members_.end()) return Add(now, statement);
  Member& member = found->second;
  MergeConfiguration(member, statement.configuration);
  if (!Outranks(statement, member.record)) return ApplyResult::kUnchanged;
  return Replace(now, member, statement);
}

ApplyResult MemberList::ApplySummary(Timestamp now, const NodeSummary& summary) {
  const auto result = Apply(now, summary.record);
  Member& member = members_.at(summary.record.id);
  if (summary.record.incarnation < member.record.incarnation) return result;
  const bool first_contact = member.last_contact == Timestamp{};
  const bool moved =
      member.record.zone != summary.record.zone || member.record.address != summary.record.address;
  if (first_contact && moved) {
    // The record came from the platform's list or from gossip; the node itself is authoritative.
    member.record.zone = summary.record.zone;
    member.record.address = summary.record.address;
    ++eligibility_version_;
  }
  const bool record_changed = result != ApplyResult::kUnchanged;
  if (record_changed || IsNewer(summary.machines, member.machines))
    member.machines = summary.machines;
  member.last_contact = now;
  return result;
}

void MemberList::AddDeadFromOtherList(Timestamp now, const MemberRecord& record) {
  Apply(now, record);
  members_.at(record.id).known_from_other_list = true;
}

void MemberList::RestoreAlive(Timestamp now, const NodeId& id) {
  const auto found = members_.find(id);
  if (found == members_.end()) return;
  auto alive = found->second.record;
  alive.state = MemberState::kAlive;
  Replace(now, found->second, alive);
}

void MemberList::SetPlatformLeaving(const NodeId& id, bool leaving) {
  const bool changed =
      leaving ? platform_leaving_.insert(id).second : platform_leaving_.erase(id) > 0;
  if (changed) ++eligibility_version_;
}

std::vector<NodeId> MemberList::ForgetDead(Timestamp now, Duration age) {
  std::vector<NodeId> forgotten;
  if (dead_count_ == 0) return forgotten;
  for (const auto& [id, member] : members_) {
    const bool dead = member.record.state == MemberState::kDead;
    if (dead && now - member.state_since >= age) forgotten.push_back(id);
  }
  for (const auto& id : forgotten) {
    Uncount(members_.at(id).record);
    members_.erase(id);
    platform_leaving_.erase(id);
  }
  return forgotten;
}

std::size_t MemberList::LiveCount() const {
  const std::size_t own = IsLive(self_.state) ? 1 : 0;
  const std::size_t count = live_count_ + own;
  return count == 0 ? 1 : count;
}

const std::vector<const MemberRecord*>& MemberList::Eligible() const {
  if (eligible_built_at_ == eligibility_version_) return eligible_;
  const auto zones_with_staying = ZonesWithStayingMembers();
  const auto is_eligible = [&](const MemberRecord& record) {
    const bool loses_role =
        platform_leaving_.contains(record.id) && zones_with_staying.contains(record.zone);
    return IsLive(record.state) && !loses_role;
  };
  eligible_.clear();
  for (const auto& [id, member] : members_) {
    if (is_eligible(member.record)) eligible_.push_back(&member.record);
  }
  if (is_eligible(self_)) {
    const auto place =
        std::lower_bound(eligible_.begin(), eligible_.end(), self_.id,
                         [](const MemberRecord* left, const NodeId& id) { return left->id < id; });
    eligible_.insert(place, &self_);
  }
  eligible_built_at_ = eligibility_version_;
  return eligible_;
}

// Zones that keep at least one live member. Only in these does a node lose its role when the
// platform lists it as leaving.
std::set<ZoneName> MemberList::ZonesWithStayingMembers() const {
  std::set<ZoneName> zones;
  if (platform_leaving_.empty()) return zones;
  const auto note = [&](const MemberRecord& record) {
    const bool stays = IsLive(record.state) && !platform_leaving_.contains(record.id);
    if (stays) zones.insert(record.zone);
  };
  note(self_);
  for (const auto& [id, member] : members_) note(member.record);
  return zones;
}

ApplyResult MemberList::Add(Timestamp now, const MemberRecord& statement) {
  Member member;
  member.record = statement;
  member.state_since = now;
  members_.emplace(statement.id, std::move(member));
  Count(statement);
  if (IsLive(statement.state)) ++eligibility_version_;
  return ApplyResult::kAdded;
}

ApplyResult MemberList::Replace(Timestamp now, Member& member, const MemberRecord& statement) {
  const bool affects_eligibility = AffectsEligibility(member.record, statement);
  const bool was_dead = member.record.state == MemberState::kDead;
  const bool state_changes = member.record.state != statement.state;
  const auto configuration = member.record.configuration;
  Uncount(member.record);
  member.record = statement;
  member.record.configuration = configuration;
  Count(member.record);
  if (state_changes) member.state_since = now;
  member.known_from_other_list = false;
  if (affects_eligibility) ++eligibility_version_;
  const bool is_dead = statement.state == MemberState::kDead;
  return was_dead && !is_dead ? ApplyResult::kRevived : ApplyResult::kChanged;
}

void MemberList::MergeConfiguration(Member& member, const DocumentVersion& configuration) {
  if (!IsNewer(configuration, member.record.configuration)) return;
  member.record.configuration = configuration;
}

void MemberList::Count(const MemberRecord& record) {
  if (record.state == MemberState::kDead) {
    ++dead_count_;
    return;
  }
  hash_ ^= HashOf(record);
  if (IsLive(record.state)) ++live_count_;
}

void MemberList::Uncount(const MemberRecord& record) {
  if (record.state == MemberState::kDead) {
    --dead_count_;
    return;
  }
  hash_ ^= HashOf(record);
  if (IsLive(record.state)) --live_count_;
}

}  // namespace copperlead
