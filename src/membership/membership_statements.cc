#include <utility>

#include "membership/membership_implementation.h"

namespace copperlead {

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

}  // namespace copperlead
