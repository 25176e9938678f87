#include "tests/mesh_integration/soak_health.h"

namespace copperlead::standin {
namespace {

// For which all has to be well before a refusal counts as unexplained.
constexpr auto kSettleTime = std::chrono::seconds(1);

}  // namespace

void SoakHealth::Begin() {
  const std::lock_guard lock(mutex_);
  machines_.assign(fleet_.machines().size(), {});
  store_.since = std::chrono::steady_clock::now();
}

void SoakHealth::BeginFault(std::size_t machine) {
  const std::lock_guard lock(mutex_);
  ++machines_[machine].faults;
  machines_[machine].since.reset();
}

void SoakHealth::EndFault(std::size_t machine) {
  const std::lock_guard lock(mutex_);
  --machines_[machine].faults;
}

void SoakHealth::SetStoreFault(bool at_fault) {
  const std::lock_guard lock(mutex_);
  if (at_fault) {
    store_.since.reset();
  } else if (!store_.since) {
    store_.since = std::chrono::steady_clock::now();
  }
}

void SoakHealth::SetNetworkFault(std::size_t machine, bool at_fault) {
  const std::lock_guard lock(mutex_);
  machines_[machine].network_fault = at_fault;
  if (at_fault) machines_[machine].since.reset();
}

bool SoakHealth::IsLimited(const Instance& instance) {
  const auto stated = instance.stated_limits();
  return !stated.empty() &&
         (!stated.back().text.empty() ||
          std::chrono::steady_clock::now() - stated.back().since < kLimitEndTime);
}

bool SoakHealth::LooksWell(const MeshMachine& machine) const {
  return !machine.instance->down() && !machine.instance->troubled() &&
         !machine.instance->states_leaving() && !IsLimited(*machine.instance) &&
         fleet_.Ready(machine).status == 200;
}

void SoakHealth::Look() {
  for (std::size_t index = 0; index < fleet_.machines().size(); ++index) {
    const bool well = LooksWell(*fleet_.machines()[index]);
    const std::lock_guard lock(mutex_);
    Health& health = machines_[index];
    if (!well || health.faults > 0 || health.network_fault) {
      health.since.reset();
    } else if (!health.since) {
      health.since = std::chrono::steady_clock::now();
    }
  }
}

bool SoakHealth::IsSettled(const Health& health, Time sent) {
  return health.since && sent - *health.since >= kSettleTime;
}

bool SoakHealth::ShouldServe(std::size_t machine, const std::string& service, Time sent) const {
  const std::lock_guard lock(mutex_);
  if (!IsSettled(store_, sent) || !IsSettled(machines_[machine], sent)) return false;
  for (std::size_t index = 0; index < machines_.size(); ++index) {
    const MeshMachine& other = *fleet_.machines()[index];
    // Look() may be held up by a paused node for as long as its instance's neighbours crash, and an
    // instance may have stated since that it takes less.
    const Instance& instance = *other.instance;
    const bool runs = !instance.down() && instance.starts().back() <= sent - kSettleTime;
    const bool takes_all = !IsLimited(instance) && !instance.states_leaving();
    if (other.service == service && runs && takes_all && IsSettled(machines_[index], sent)) {
      return true;
    }
  }
  return false;
}

}  // namespace copperlead::standin
