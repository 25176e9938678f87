// The named courses of events that the simulator can run.
#pragma once

#include <string_view>
#include <vector>

#include "simulation/simulator.h"

namespace copperlead::simulation {

// The fleet is settled when `run` begins. It ends healed; the caller then waits kSettleGrace and
// checks that every node runs the newest accepted version.
struct Scenario {
  std::string_view name;
  std::string_view summary;
  void (*run)(Simulator&);
};

// After healing, every live node runs the newest accepted version within this.
inline constexpr Duration kSettleGrace = std::chrono::seconds(10);

// In the order of --list.
const std::vector<Scenario>& AllScenarios();
// @return the scenario; null when there is none of that name.
const Scenario* ScenarioNamed(std::string_view name);

}  // namespace copperlead::simulation
