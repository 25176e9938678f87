// Runs one simulation from the herd start of the fleet to the last check, and measures it.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "base/result.h"
#include "simulation/invariants.h"
#include "simulation/measurements.h"
#include "simulation/options.h"
#include "simulation/traffic_meter.h"

namespace copperlead::simulation {

// What one run came to. Everything in it is decided by the options alone.
struct SimulationReport {
  SimulationOptions options;
  Duration origin{};        // Of `Violation::when`, to subtract.
  Duration virtual_time{};  // Of the whole run.
  // Start-up: all nodes start within a second and the source is read for the first time.
  Duration start_up_time{};     // Until every node runs the first version and knows the fleet.
  Duration views_agree_time{};  // Until all views of the members are the same.
  SourceLoad start_up_load;
  double start_up_bytes_per_node = 0;  // Until the views agree.
  // Quiet window, nothing happening.
  double quiet_bytes_per_node_per_second = 0;
  // The scenario, healing and grace included.
  double mean_bytes_per_node_per_second = 0;
  double busiest_node_bytes_per_second = 0;
  std::array<double, kTrafficKinds> bytes_per_node_per_second_by_kind{};
  double bytes_per_edit_per_node = 0;  // Above quiet; 0 without edits.
  double bytes_per_start = 0;          // Above quiet; 0 without restarts.
  std::size_t edits = 0;
  std::uint64_t restarts = 0;
  SourceLoad load;
  double source_reads_per_second = 0;
  std::size_t source_read_bound = 0;
  Percentiles convergence_ms;          // From publication to running it.
  Percentiles spread_ms;               // From the first activation in the fleet.
  Percentiles machine_convergence_ms;  // Of the machine list.
  Percentiles join_ms;                 // From a node's start until it is ready.
  std::size_t convergence_samples = 0;
  std::uint64_t checked_steps = 0;
  std::size_t violation_count = 0;
  std::vector<Violation> violations;
};

// @param options checked by CheckOptions. @return kUsage for an unknown scenario.
Result<SimulationReport> RunSimulation(const SimulationOptions& options);

}  // namespace copperlead::simulation
