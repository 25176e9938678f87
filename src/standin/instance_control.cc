// The part of the instance stand-in by which tests set what it does and read what it has seen.
#include <algorithm>

#include "standin/instance.h"

namespace copperlead::standin {

void Instance::SetFault(const InstanceFault& fault) {
  const std::lock_guard lock(mutex_);
  fault_ = fault;
}

void Instance::SetCrash(const InstanceCrash& crash) {
  const std::lock_guard lock(mutex_);
  crash_ = crash;
}

std::string Instance::id() const {
  const std::lock_guard lock(mutex_);
  return settings_.id;
}

std::int64_t Instance::born() const {
  const std::lock_guard lock(mutex_);
  return born_;
}

bool Instance::down() const {
  const std::lock_guard lock(mutex_);
  return down_;
}

void Instance::SetEndlessAnswer(const EndlessAnswer& answer) {
  const std::lock_guard lock(mutex_);
  endless_ = answer;
}

int Instance::endless_answers_ended() const {
  const std::lock_guard lock(mutex_);
  return endless_ended_;
}

int Instance::endless_answers_open() const {
  const std::lock_guard lock(mutex_);
  return endless_begun_ - endless_ended_;
}

bool Instance::troubled() const {
  const std::lock_guard lock(mutex_);
  return fault_.trouble != InstanceTrouble::kNone && fault_.times > 0;
}

std::vector<std::chrono::steady_clock::time_point> Instance::crashes() const {
  const std::lock_guard lock(mutex_);
  return crashes_;
}

void Instance::SetWork(std::chrono::milliseconds work) {
  const std::lock_guard lock(mutex_);
  settings_.work = work;
}

void Instance::StateLimit(const std::string& text) {
  const std::lock_guard lock(mutex_);
  limits_.push_back({std::chrono::steady_clock::now(), text});
}

void Instance::StateLeaving(const std::string& text) {
  const std::lock_guard lock(mutex_);
  leaving_ = text;
}

void Instance::KeepLimitFromHealthAnswers() {
  const std::lock_guard lock(mutex_);
  health_states_limit_ = false;
}

std::vector<StatedLimit> Instance::stated_limits() const {
  const std::lock_guard lock(mutex_);
  return limits_;
}

std::vector<std::chrono::steady_clock::time_point> Instance::starts() const {
  const std::lock_guard lock(mutex_);
  return starts_;
}

bool Instance::states_leaving() const {
  const std::lock_guard lock(mutex_);
  return !leaving_.empty();
}

std::uint64_t Instance::health_checks() const {
  const std::lock_guard lock(mutex_);
  return health_checks_;
}

void Instance::SetId(const std::string& id) {
  const std::lock_guard lock(mutex_);
  settings_.id = id;
}

void Instance::GoCold() {
  const std::lock_guard lock(mutex_);
  cold_until_ = std::chrono::steady_clock::now() + settings_.cold;
}

int Instance::falls() const {
  const std::lock_guard lock(mutex_);
  return falls_;
}

std::vector<InstanceRun> Instance::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

int Instance::RunsOf(const std::string& request_id) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(runs_.begin(), runs_.end(), [&](const InstanceRun& run) {
    return run.ran && run.request_id == request_id;
  }));
}

std::uint32_t Instance::most_at_once() const {
  const std::lock_guard lock(mutex_);
  return most_at_once_;
}

std::uint64_t Instance::connections() const {
  const std::lock_guard lock(mutex_);
  return connections_;
}

}  // namespace copperlead::standin
