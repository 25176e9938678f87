// copperlead simulate: runs the control plane of a whole fleet in virtual time.

#include <chrono>
#include <iomanip>
#include <iostream>

#include "simulation/report.h"
#include "simulation/scenario.h"
#include "toolbox/command.h"
#include "toolbox/command_options.h"

namespace copperlead {
namespace {

namespace program_options = boost::program_options;
using simulation::SimulationOptions;

CommandDescription Describe() {
  CommandDescription description;
  description.usage = "copperlead simulate [--nodes N] [--zones Z] [--scenario S] [--seed N] ...";
  description.purpose =
      "Runs the control plane of a whole fleet in virtual time, with the deciding code of the\n"
      "daemon, and checks the promises at every step; the same seed gives the same run.\n"
      "Exit 0: every promise held; 1: a violation is shown; 2: bad option.";
  description.example = "copperlead simulate --nodes 1000 --zones 5 --scenario one-edit --seed 7";
  auto add = description.options.add_options();
  add("list", "list the scenarios and the broken variants");
  add("nodes", program_options::value<std::size_t>()->default_value(10), "size of the fleet");
  add("zones", program_options::value<std::size_t>()->default_value(5), "number of zones");
  add("regions", program_options::value<std::size_t>(), "regions, 2 where there are two zones");
  add("seed", program_options::value<std::uint64_t>()->default_value(1), "of all random choices");
  add("scenario", program_options::value<std::string>()->default_value("one-edit"),
      "a name that --list shows");
  add("strategy", program_options::value<std::string>()->default_value("full"),
      "full, every-node-polls, flat-push, gossip-only or tree-only");
  add("profile", program_options::value<std::string>()->default_value("avlak"),
      "avlak or ferraris: latencies and intervals");
  add("fan-out", program_options::value<std::size_t>(), "children per node of the push tree");
  add("source-interval-ms", program_options::value<std::int64_t>(),
      "time between two polls of a zone's reader");
  add("probe-interval-ms", program_options::value<std::int64_t>(),
      "time between two membership probes of a node");
  add("services", program_options::value<std::size_t>()->default_value(85),
      "services in the table, ten routes each");
  add("broken", program_options::value<std::vector<std::string>>(),
      "a deliberately broken variant that --list shows (repeatable)");
  add("json", "print one JSON object");
  add("trace", "print to standard error what each node does, messages left out");
  return description;
}

void PrintList() {
  std::cout << "scenarios:\n";
  for (const auto& scenario : simulation::AllScenarios()) {
    std::cout << "  " << std::left << std::setw(24) << scenario.name << scenario.summary << "\n";
  }
  std::cout << "broken variants:\n";
  for (const auto& broken : simulation::AllBrokenSwitches()) {
    std::cout << "  " << std::left << std::setw(24) << broken.name << broken.summary << "\n";
  }
}

Result<Duration> ReadInterval(const char* option, std::int64_t milliseconds) {
  constexpr std::int64_t kLongest = 3'600'000;
  if (milliseconds >= 1 && milliseconds <= kLongest) return Duration(Milliseconds(milliseconds));
  return Fail(ErrorKind::kUsage, option,
              std::to_string(milliseconds) + " is not from 1 to " + std::to_string(kLongest));
}

Result<Done> ReadBroken(const std::vector<std::string>& names, SimulationOptions& options) {
  for (const std::string& name : names) {
    bool found = false;
    for (const auto& broken : simulation::AllBrokenSwitches()) {
      if (broken.name != name) continue;
      broken.apply(options.broken);
      found = true;
    }
    if (!found) return Fail(ErrorKind::kUsage, "--broken", "no variant \"" + name + "\"");
  }
  return Done{};
}

Result<Done> ReadNames(const program_options::variables_map& values, SimulationOptions& options) {
  const auto& strategy = values["strategy"].as<std::string>();
  const auto known_strategy = simulation::StrategyNamed(strategy);
  if (!known_strategy) {
    return Fail(ErrorKind::kUsage, "--strategy", "no strategy \"" + strategy + "\"");
  }
  options.strategy = *known_strategy;
  const auto& profile = values["profile"].as<std::string>();
  const auto known_profile = simulation::ProfileNamed(profile);
  if (!known_profile) {
    return Fail(ErrorKind::kUsage, "--profile", "no profile \"" + profile + "\"");
  }
  options.profile = *known_profile;
  return Done{};
}

Result<SimulationOptions> ReadOptions(const program_options::variables_map& values) {
  SimulationOptions options;
  options.nodes = values["nodes"].as<std::size_t>();
  options.zones = values["zones"].as<std::size_t>();
  options.regions = std::min<std::size_t>(2, options.zones);
  if (values.count("regions") > 0) options.regions = values["regions"].as<std::size_t>();
  options.seed = values["seed"].as<std::uint64_t>();
  options.scenario = values["scenario"].as<std::string>();
  options.services = values["services"].as<std::size_t>();
  if (values.count("fan-out") > 0) options.fan_out = values["fan-out"].as<std::size_t>();
  if (values.count("source-interval-ms") > 0) {
    BOOST_LEAF_AUTO(interval, ReadInterval("--source-interval-ms",
                                           values["source-interval-ms"].as<std::int64_t>()));
    options.source_interval = interval;
  }
  if (values.count("probe-interval-ms") > 0) {
    BOOST_LEAF_AUTO(interval, ReadInterval("--probe-interval-ms",
                                           values["probe-interval-ms"].as<std::int64_t>()));
    options.probe_interval = interval;
  }
  if (values.count("trace") > 0) options.trace = &std::cerr;
  BOOST_LEAF_CHECK(ReadNames(values, options));
  if (values.count("broken") > 0) {
    BOOST_LEAF_CHECK(ReadBroken(values["broken"].as<std::vector<std::string>>(), options));
  }
  return options;
}

Result<int> RunOnce(const SimulationOptions& options, bool json) {
  const auto start = std::chrono::steady_clock::now();
  auto report = Resolve([&] { return simulation::RunSimulation(options); });
  if (!report) return Fail(ErrorKind::kUsage, "options", ToString(report.error()));
  const auto wall =
      std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - start);
  const auto wall_ms = static_cast<std::uint64_t>(wall.count());
  std::cout << (json ? simulation::ToJson(report.value(), wall_ms) + "\n"
                     : simulation::ToText(report.value(), wall_ms));
  return report.value().violation_count == 0 ? kExitGood : kExitNotSo;
}

Result<int> Run(const CommandOptions& options) {
  if (options.Has("list")) {
    PrintList();
    return kExitGood;
  }
  BOOST_LEAF_AUTO(simulation_options, ReadOptions(options.values));
  return RunOnce(simulation_options, options.Has("json"));
}

}  // namespace

int RunSimulate(const std::vector<std::string>& arguments) {
  return RunCommand("simulate", Describe(), arguments, Run);
}

}  // namespace copperlead
