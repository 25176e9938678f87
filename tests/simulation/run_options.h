// Runs a simulation in a test.
#pragma once

#include <gtest/gtest.h>

#include "simulation/report.h"

namespace copperlead::simulation {

inline SimulationReport RunOptions(const SimulationOptions& options) {
  auto report = Resolve([&] { return RunSimulation(options); });
  if (report) return report.value();
  ADD_FAILURE() << ToString(report.error());
  return SimulationReport{};
}

// A fleet that simulates in a fraction of a second.
inline SimulationOptions SmallFleet(std::string_view scenario, std::uint64_t seed = 1) {
  SimulationOptions options;
  options.nodes = 20;
  options.services = 8;
  options.scenario = scenario;
  options.seed = seed;
  return options;
}

}  // namespace copperlead::simulation
