#include <algorithm>
#include <utility>

#include "membership/membership_implementation.h"

namespace copperlead {
namespace {

// After this many unanswered probes in a row the fault is more likely this node's own.
constexpr std::size_t kFailuresToDoubtItself = 4;
// Largest share of intervals in which a dead member is pinged, one in this many.
constexpr std::size_t kLeastIntervalsPerReconnect = 4;
// Dead members are looked through this often within forget_dead_after.
constexpr int kForgetChecks = 16;

}  // namespace

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
    Declare(now, statement, provisional_.contains(id));
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

void Membership::Implementation::ProbeFailed(Timestamp now, const NodeId& id,
                                             OutgoingMessages& out) {
  const Member* member = members_.Find(id);
  if (member == nullptr || member->record.state == MemberState::kDead) return;
  if (member->record.state == MemberState::kAlive) {
    MemberRecord statement = member->record;
    statement.state = MemberState::kSuspect;
    Declare(now, statement, prober_.failures_in_a_row() >= kFailuresToDoubtItself);
  }
  suspicions_.Start(now, id, /*own_probe=*/true);
  if (!provisional_.contains(id)) out.push_back(PingTo(id, member->record.address));
}

// Takes a verdict, and spreads it unless it is provisional.
void Membership::Implementation::Declare(Timestamp now, const MemberRecord& statement,
                                         bool provisional) {
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

}  // namespace copperlead
