#include "source/watchdog.h"

#include <algorithm>

namespace copperlead {
namespace {

constexpr Duration kMaxWait = std::chrono::hours(1);

}  // namespace

Watchdog::Watchdog() : thread_([this] { Run(); }) {}

Watchdog::~Watchdog() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

std::uint64_t Watchdog::Arm(Timestamp deadline, Alarm alarm) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t number = ++last_number_;
  entries_.emplace(number, Entry{deadline, std::move(alarm)});
  changed_.notify_all();
  return number;
}

void Watchdog::Disarm(std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  entries_.erase(number);
}

Timestamp Watchdog::NextDeadline() const {
  Timestamp next = SteadyClock().Now() + kMaxWait;
  for (const auto& [number, entry] : entries_) next = std::min(next, entry.deadline);
  return next;
}

void Watchdog::CallDueAlarms() {
  const Timestamp now = SteadyClock().Now();
  std::erase_if(entries_, [&](const auto& numbered) {
    const Entry& entry = numbered.second;
    if (entry.deadline > now) return false;
    entry.alarm();
    return true;
  });
}

void Watchdog::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    // A relative wait, because condition variables wait on a clock that stops while the machine is
    // suspended.
    changed_.wait_for(lock, NextDeadline() - SteadyClock().Now());
    CallDueAlarms();
  }
}

}  // namespace copperlead
