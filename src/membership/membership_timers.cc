#include <algorithm>
#include <utility>

#include "membership/membership_implementation.h"

namespace copperlead {
namespace {

// After this many consecutive unanswered probes the fault is more likely in this node's connection.
constexpr std::size_t kFailuresToDoubtOwnConnection = 4;
// A node pings a dead member in at most one of this many intervals on average.
constexpr std::size_t kMinIntervalsPerReconnect = 4;
// Number of checks for dead members to forget within forget_dead_after.
constexpr int kForgetChecksPerPeriod = 16;

}  // namespace

// A call that is later than its deadline by more than an interval means that the process was
// paused. Answers may have been lost meanwhile, so all measurements before the pause are discarded.
void Membership::Implementation::ResetTimersAfterPause(Timestamp now) {
  if (now - NextDeadline() > settings_.probe_interval) ResetTimers(now);
}

void Membership::Implementation::ResetTimers(Timestamp now) {
  prober_.Restart(now);
  suspicions_.RestartAll(now);
  queue_.Clear();
}

void Membership::Implementation::RunProber(Timestamp now, OutgoingMessages& out) {
  const auto step = prober_.Advance(now, members_);
  if (step.failed) OnProbeFailed(now, *step.failed, out);
  if (step.target) {
    Ping ping{step.number, UpdatesFor(step.target->id, 0)};
    out.push_back({step.target->address, std::move(ping)});
    PingDeadMember(out);
  }
  for (const auto& relay : step.relays) {
    PingRequest request{step.number, step.relay_target->id, step.relay_target->address,
                        UpdatesFor(relay.id, 0)};
    out.push_back({relay.address, std::move(request)});
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
    Declare(now, statement, provisional_.contains(id));
  }
}

// Lets parts of a partitioned fleet find each other again. The fleet in total pings each
// dead member about once per interval, whatever its size.
void Membership::Implementation::PingDeadMember(OutgoingMessages& out) {
  const auto missing = members_.dead_count() + joiner_.contacts().size();
  const auto intervals =
      std::max(members_.LiveCount() / std::max<std::size_t>(missing, 1), kMinIntervalsPerReconnect);
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
  next_forget_ = now + settings_.forget_dead_after / kForgetChecksPerPeriod;
  for (const auto& id : members_.ForgetDead(now, settings_.forget_dead_after)) {
    queue_.Remove(id);
    provisional_.erase(id);
  }
}

void Membership::Implementation::OnProbeFailed(Timestamp now, const NodeId& id,
                                               OutgoingMessages& out) {
  const Member* member = members_.Find(id);
  if (member == nullptr || member->record.state == MemberState::kDead) return;
  if (member->record.state == MemberState::kAlive) {
    MemberRecord statement = member->record;
    statement.state = MemberState::kSuspect;
    Declare(now, statement, prober_.consecutive_failures() >= kFailuresToDoubtOwnConnection);
  }
  suspicions_.Start(now, id, /*own_probe=*/true);
  if (!provisional_.contains(id)) out.push_back(PingTo(id, member->record.address));
}

// Applies a verdict of this node and gossips it unless it is provisional.
void Membership::Implementation::Declare(Timestamp now, const MemberRecord& statement,
                                         bool provisional) {
  const auto result = members_.Apply(now, statement);
  OnRecordChanged(now, statement.id, result, /*was_suspect_or_dead=*/false);
  if (!provisional) return;
  queue_.Remove(statement.id);
  provisional_.insert(statement.id);
}

// An answer shows that this node is connected, so the provisional verdicts are revoked.
void Membership::Implementation::OnPeerAnswered(Timestamp now) {
  fleet_answered_ = true;
  prober_.ResetFailures();
  for (const auto& id : std::exchange(provisional_, {})) {
    const Member* member = members_.Find(id);
    if (member == nullptr || !IsSuspectOrDead(member->record.state)) continue;
    members_.RestoreAlive(now, id);
    suspicions_.Stop(id);
    prober_.AddToRound(id);
  }
}

}  // namespace copperlead
