#include <utility>

#include "membership/membership_implementation.h"

namespace copperlead {

void Membership::Implementation::ApplySummary(Timestamp now, const NodeSummary& summary) {
  const NodeId& id = summary.record.id;
  const Member* before = members_.Find(id);
  const bool was_suspect_or_dead = before != nullptr && IsSuspectOrDead(before->record.state);
  const auto result = members_.ApplySummary(now, summary);
  OnRecordChanged(now, id, result, was_suspect_or_dead);
}

void Membership::Implementation::ApplyUpdates(Timestamp now,
                                              const std::vector<MemberRecord>& updates) {
  for (const auto& update : updates) ApplyStatement(now, update);
}

ApplyResult Membership::Implementation::ApplyStatement(Timestamp now,
                                                       const MemberRecord& statement) {
  if (statement.id.empty()) return ApplyResult::kUnchanged;
  if (statement.id == members_.self().id) {
    ApplyStatementAboutSelf(statement);
    return ApplyResult::kUnchanged;
  }
  const Member* before = members_.Find(statement.id);
  const bool was_suspect_or_dead = before != nullptr && IsSuspectOrDead(before->record.state);
  const auto result = members_.Apply(now, statement);
  const bool confirms = result == ApplyResult::kUnchanged && IsSuspectOrDead(statement.state) &&
                        !Outranks(members_.Find(statement.id)->record, statement);
  if (confirms) provisional_.erase(statement.id);
  OnRecordChanged(now, statement.id, result, was_suspect_or_dead);
  return result;
}

// Updates timers, the probing round and the update queue after a record has changed.
void Membership::Implementation::OnRecordChanged(Timestamp now, const NodeId& id,
                                                 ApplyResult result, bool was_suspect_or_dead) {
  if (result == ApplyResult::kUnchanged) return;
  const auto state = members_.Find(id)->record.state;
  provisional_.erase(id);
  suspicions_.Stop(id);
  if (was_suspect_or_dead && !IsSuspectOrDead(state)) suspicions_.RecordRefutation(now, id);
  if (state == MemberState::kSuspect) suspicions_.Start(now, id, /*own_probe=*/false);
  const bool joins_round = result == ApplyResult::kAdded || result == ApplyResult::kRevived;
  if (joins_round && state != MemberState::kDead) prober_.AddToRound(id);
  queue_.Add(id);
}

// Refutes a wrong statement about this node by raising the incarnation above it. The new record
// needs no place in the update queue, because every message carries this node's summary.
void Membership::Implementation::ApplyStatementAboutSelf(const MemberRecord& statement) {
  const auto& self = members_.self();
  if (statement.incarnation < self.incarnation || statement.incarnation == UINT32_MAX) return;
  const bool wrongly_leaving =
      statement.state == MemberState::kLeaving && self.state != MemberState::kLeaving;
  const bool wrong = IsSuspectOrDead(statement.state) || wrongly_leaving;
  if (statement.incarnation == self.incarnation && !wrong) return;
  // Another live process uses this id. Its higher incarnation is left to win, so that the two do
  // not refute each other endlessly.
  const bool elsewhere = statement.address != self.address;
  if (elsewhere && statement.state != MemberState::kDead) return;
  members_.SetSelf(self.state, statement.incarnation + 1);
}

// The changes of a long list are new to this node only and are not gossiped, because that would
// repeat the list of the complete fleet.
void Membership::Implementation::ApplyList(Timestamp now, const std::vector<MemberRecord>& list) {
  std::vector<NodeId> changed;
  for (const auto& record : list) {
    const bool unknown_dead = record.state == MemberState::kDead && !record.id.empty() &&
                              record.id != members_.self().id &&
                              members_.Find(record.id) == nullptr;
    if (unknown_dead) {
      if (joiner_.joining()) members_.AddDeadFromOtherList(now, record);
      continue;
    }
    if (ApplyStatement(now, record) != ApplyResult::kUnchanged) changed.push_back(record.id);
  }
  exchange_.RecordList(now, changed.size(), members_.members().size());
  if (changed.size() <= settings_.max_updates_per_message) return;
  for (const auto& id : changed) queue_.Remove(id);
}

}  // namespace copperlead
