#include "membership/suspicion.h"

#include <algorithm>

namespace copperlead {
namespace {

// Timers started by a received suspicion run for this many timeouts.
constexpr int kReceivedSuspicionFactor = 2;
// The timeout of a member that keeps refuting is extended to at most this many timeouts.
constexpr std::size_t kMaxDampingFactor = 4;
// Refutations extend later timeouts until this many timeouts have passed since the last one.
constexpr int kRefutationMemoryTimeouts = 15;
// Number of refutation histories at which outdated ones are removed.
constexpr std::size_t kMaxHistories = 64;

}  // namespace

void SuspicionTable::Start(Timestamp now, const NodeId& id, bool own_probe) {
  const auto timeout = TimeoutFor(now, id);
  const auto [found, inserted] = timers_.try_emplace(id);
  Timer& timer = found->second;
  if (inserted) timer.deadline = now + timeout * (own_probe ? 1 : kReceivedSuspicionFactor);
  if (!own_probe || timer.own_probe) return;
  timer.own_probe = true;
  timer.deadline = std::min(timer.deadline, now + timeout);
  timer.reminder = now + timeout / 2;
}

void SuspicionTable::Stop(const NodeId& id) { timers_.erase(id); }

void SuspicionTable::RecordRefutation(Timestamp now, const NodeId& id) {
  if (refutations_.size() >= kMaxHistories) {
    std::erase_if(refutations_, [&](const auto& entry) {
      return now - entry.second.last > timeout_ * kRefutationMemoryTimeouts;
    });
  }
  auto& history = refutations_[id];
  if (now - history.last > timeout_ * kRefutationMemoryTimeouts) history.count = 0;
  history.count = std::min(history.count + 1, kMaxDampingFactor - 1);
  history.last = now;
}

void SuspicionTable::RestartAll(Timestamp now) {
  for (auto& [id, timer] : timers_) {
    timer = {now + TimeoutFor(now, id) * kReceivedSuspicionFactor, std::nullopt, false};
  }
}

std::vector<NodeId> SuspicionTable::TakeExpired(Timestamp now) {
  std::vector<NodeId> expired;
  for (const auto& [id, timer] : timers_) {
    if (timer.deadline <= now) expired.push_back(id);
  }
  for (const auto& id : expired) timers_.erase(id);
  return expired;
}

std::vector<NodeId> SuspicionTable::TakeReminders(Timestamp now) {
  std::vector<NodeId> due;
  for (auto& [id, timer] : timers_) {
    if (!timer.reminder || *timer.reminder > now) continue;
    timer.reminder.reset();
    due.push_back(id);
  }
  return due;
}

std::optional<Timestamp> SuspicionTable::NextDeadline() const {
  std::optional<Timestamp> next;
  for (const auto& [id, timer] : timers_) {
    const auto due = timer.reminder ? std::min(*timer.reminder, timer.deadline) : timer.deadline;
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

Duration SuspicionTable::TimeoutFor(Timestamp now, const NodeId& id) {
  const auto found = refutations_.find(id);
  if (found == refutations_.end()) return timeout_;
  if (now - found->second.last > timeout_ * kRefutationMemoryTimeouts) {
    refutations_.erase(found);
    return timeout_;
  }
  return timeout_ * (1 + found->second.count);
}

}  // namespace copperlead
