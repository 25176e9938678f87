#include "simulation/runner.h"

#include <algorithm>

#include "simulation/scenario.h"

namespace copperlead::simulation {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kStartSpread = kSecond;
constexpr Duration kStartUpLimit = 60 * kSecond;
// The views of the members agree some time after the first version runs everywhere.
constexpr Duration kViewsAgreeLimit = 180 * kSecond;
constexpr Duration kCalmBeforeQuiet = 10 * kSecond;
constexpr Duration kQuietWindow = 20 * kSecond;

double Seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

// The meters at one moment.
struct Mark {
  Duration elapsed{};
  TrafficTotals traffic;
  std::vector<std::uint64_t> by_node;
  std::uint64_t starts = 0;
};

Mark MarkNow(const Simulator& simulator) {
  return {simulator.elapsed(), simulator.traffic().totals(), simulator.traffic().by_node(),
          simulator.starts()};
}

bool FleetIsKnownToAll(const Simulator& simulator) {
  const std::size_t nodes = simulator.topology().node_count();
  for (NodeIndex node = 0; node < nodes; ++node) {
    const SimulatedNode& state = simulator.node(node);
    if (!state.agent || state.agent->membership().LiveCount() != nodes) return false;
  }
  return true;
}

bool ViewsAgree(const Simulator& simulator) {
  const std::size_t nodes = simulator.topology().node_count();
  const auto hash_of = [&](NodeIndex node) {
    return simulator.node(node).agent->membership().Summary().membership_hash;
  };
  for (NodeIndex node = 1; node < nodes; ++node) {
    if (hash_of(node) != hash_of(0)) return false;
  }
  return true;
}

void StartFleet(Simulator& simulator) {
  simulator.PublishEdit(simulator.documents().NextEdit());
  simulator.PublishMachines(simulator.documents().NextMachines());
  const auto nodes = static_cast<Duration::rep>(simulator.topology().node_count());
  for (NodeIndex node = 0; node < simulator.topology().node_count(); ++node) {
    simulator.Start(node);
    simulator.RunFor(kStartSpread / nodes);
  }
  while (simulator.elapsed() < kStartUpLimit) {
    if (simulator.Settled() && FleetIsKnownToAll(simulator)) break;
    simulator.RunFor(Milliseconds(100));
  }
  simulator.ExpectSettled();
}

void MeasureStartUp(Simulator& simulator, SimulationReport& report) {
  StartFleet(simulator);
  report.start_up_time = simulator.elapsed();
  report.start_up_load = simulator.source().load();
  while (!ViewsAgree(simulator) && simulator.elapsed() < kViewsAgreeLimit) {
    simulator.RunFor(kSecond);
  }
  report.views_agree_time = simulator.elapsed();
  report.start_up_bytes_per_node = static_cast<double>(simulator.traffic().totals().all()) /
                                   static_cast<double>(report.options.nodes);
  simulator.RunFor(kCalmBeforeQuiet);
}

void MeasureQuiet(Simulator& simulator, SimulationReport& report) {
  const Mark before = MarkNow(simulator);
  simulator.RunFor(kQuietWindow);
  const TrafficTotals window = simulator.traffic().totals() - before.traffic;
  report.quiet_bytes_per_node_per_second = static_cast<double>(window.all()) /
                                           static_cast<double>(report.options.nodes) /
                                           Seconds(kQuietWindow);
}

void MeasureTraffic(const Simulator& simulator, const Mark& before, SimulationReport& report) {
  const Mark after = MarkNow(simulator);
  const auto nodes = static_cast<double>(report.options.nodes);
  const double seconds = Seconds(after.elapsed - before.elapsed);
  const TrafficTotals window = after.traffic - before.traffic;
  report.mean_bytes_per_node_per_second = static_cast<double>(window.all()) / nodes / seconds;
  for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
    report.bytes_per_node_per_second_by_kind[kind] =
        static_cast<double>(window.bytes[kind]) / nodes / seconds;
  }
  std::uint64_t busiest = 0;
  for (NodeIndex node = 0; node < after.by_node.size(); ++node) {
    busiest = std::max(busiest, after.by_node[node] - before.by_node[node]);
  }
  report.busiest_node_bytes_per_second = static_cast<double>(busiest) / seconds;
  const double above_quiet =
      (report.mean_bytes_per_node_per_second - report.quiet_bytes_per_node_per_second) * seconds;
  if (report.edits > 0) {
    report.bytes_per_edit_per_node = above_quiet / static_cast<double>(report.edits);
  }
  report.restarts = after.starts - before.starts;
  if (report.restarts > 0) {
    report.bytes_per_start = above_quiet * nodes / static_cast<double>(report.restarts);
  }
}

void MeasureScenario(Simulator& simulator, const Scenario& scenario, SimulationReport& report) {
  simulator.source().ResetLoad();
  simulator.ResetMeasurements();
  const Mark before = MarkNow(simulator);
  scenario.run(simulator);
  simulator.RunFor(kSettleGrace);
  simulator.ExpectSettled();
  report.edits = simulator.convergence().published();
  report.load = simulator.source().load();
  report.source_reads_per_second =
      static_cast<double>(report.load.reads) / Seconds(simulator.elapsed() - before.elapsed);
  MeasureTraffic(simulator, before, report);
}

void TakeResults(const Simulator& simulator, SimulationReport& report) {
  report.virtual_time = simulator.elapsed();
  report.origin = simulator.now().time_since_epoch() - simulator.elapsed();
  report.convergence_ms = simulator.convergence().samples().InMilliseconds();
  report.spread_ms = simulator.convergence().spread().InMilliseconds();
  report.convergence_samples = simulator.convergence().samples().count();
  report.machine_convergence_ms = simulator.machine_convergence().samples().InMilliseconds();
  report.join_ms = simulator.join_times().InMilliseconds();
  report.source_read_bound = simulator.checker().read_bound();
  report.checked_steps = simulator.checker().checked_steps();
  report.violation_count = simulator.checker().violation_count();
  report.violations = simulator.checker().violations();
}

}  // namespace

Result<SimulationReport> RunSimulation(const SimulationOptions& options) {
  BOOST_LEAF_CHECK(CheckOptions(options));
  const Scenario* scenario = ScenarioNamed(options.scenario);
  if (scenario == nullptr) {
    return Fail(ErrorKind::kUsage, "--scenario", "no scenario \"" + options.scenario + "\"");
  }
  SimulationReport report;
  report.options = options;
  Simulator simulator(options);
  MeasureStartUp(simulator, report);
  MeasureQuiet(simulator, report);
  MeasureScenario(simulator, *scenario, report);
  TakeResults(simulator, report);
  return report;
}

}  // namespace copperlead::simulation
