#include "simulation/report.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace copperlead::simulation {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t kViolationsShown = 20;

double Rounded(double value) { return std::round(value * 1000.0) / 1000.0; }

double ToMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

Json ToJsonValue(const Percentiles& percentiles) {
  return {{"p50", Rounded(percentiles.p50)},
          {"p99", Rounded(percentiles.p99)},
          {"max", Rounded(percentiles.max)}};
}

double VirtualMilliseconds(const SimulationReport& report, const Violation& violation) {
  return ToMilliseconds(violation.when.time_since_epoch() - report.origin);
}

Json ToJsonValue(const SimulationReport& report, const Violation& violation) {
  return {{"seed", report.options.seed},
          {"time_ms", VirtualMilliseconds(report, violation)},
          {"node", violation.node},
          {"rule", Name(violation.rule)},
          {"detail", violation.detail}};
}

Json BytesByKind(const SimulationReport& report) {
  Json bytes;
  for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
    bytes[std::string(Name(static_cast<TrafficKind>(kind)))] =
        Rounded(report.bytes_per_node_per_second_by_kind[kind]);
  }
  return bytes;
}

Json StartUp(const SimulationReport& report) {
  return {{"time_ms", ToMilliseconds(report.start_up_time)},
          {"views_agree_ms", ToMilliseconds(report.views_agree_time)},
          {"bytes_per_node", Rounded(report.start_up_bytes_per_node)},
          {"source_reads", report.start_up_load.reads},
          {"source_peak_per_second", report.start_up_load.peak_per_second}};
}

}  // namespace

std::string ToJson(const SimulationReport& report, std::uint64_t wall_ms) {
  const AgentSettings settings = AgentSettingsFor(report.options);
  Json json;
  json["nodes"] = report.options.nodes;
  json["zones"] = report.options.zones;
  json["regions"] = report.options.regions;
  json["seed"] = report.options.seed;
  json["scenario"] = report.options.scenario;
  json["strategy"] = Name(report.options.strategy);
  json["profile"] = Name(report.options.profile);
  json["fan_out"] = settings.fan_out;
  json["source_interval_ms"] = ToMilliseconds(settings.source_interval);
  json["convergence_ms"] = ToJsonValue(report.convergence_ms);
  json["control_bytes_per_node_per_second"] = {
      {"quiet", Rounded(report.quiet_bytes_per_node_per_second)},
      {"mean", Rounded(report.mean_bytes_per_node_per_second)},
      {"max", Rounded(report.busiest_node_bytes_per_second)},
      {"by_kind", BytesByKind(report)}};
  json["bytes_per_edit_per_node"] = Rounded(report.bytes_per_edit_per_node);
  json["source_requests_per_second"] = Rounded(report.source_reads_per_second);
  json["source"] = {{"reads", report.load.reads},
                    {"peak_per_second", report.load.peak_per_second},
                    {"bound_per_second", report.source_read_bound}};
  json["spread_ms"] = ToJsonValue(report.spread_ms);
  json["machine_list_convergence_ms"] = ToJsonValue(report.machine_convergence_ms);
  json["join_ms"] = ToJsonValue(report.join_ms);
  json["bytes_per_restart"] = Rounded(report.bytes_per_start);
  json["edits"] = report.edits;
  json["restarts"] = report.restarts;
  json["convergence_samples"] = report.convergence_samples;
  json["start_up"] = StartUp(report);
  json["checked_steps"] = report.checked_steps;
  json["virtual_ms"] = ToMilliseconds(report.virtual_time);
  json["violation_count"] = report.violation_count;
  json["violations"] = Json::array();
  for (const Violation& violation : report.violations) {
    json["violations"].push_back(ToJsonValue(report, violation));
  }
  json["wall_ms"] = wall_ms;
  return json.dump(2);
}

std::string ToText(const SimulationReport& report, std::uint64_t wall_ms) {
  std::ostringstream text;
  text << report.options.scenario << ", strategy " << Name(report.options.strategy) << ", "
       << report.options.nodes << " nodes, " << report.options.zones << " zones, seed "
       << report.options.seed << "\n"
       << "convergence ms: p50 " << report.convergence_ms.p50 << ", p99 "
       << report.convergence_ms.p99 << ", max " << report.convergence_ms.max << " ("
       << report.convergence_samples << " samples)\n"
       << "control bytes per node per second: quiet " << report.quiet_bytes_per_node_per_second
       << ", mean " << report.mean_bytes_per_node_per_second << "\n"
       << "bytes per edit per node above quiet: " << report.bytes_per_edit_per_node << "\n"
       << "source reads per second: " << report.source_reads_per_second << ", peak "
       << report.load.peak_per_second << ", bound " << report.source_read_bound << "\n"
       << "violations: " << report.violation_count << "\n";
  std::size_t shown = 0;
  for (const Violation& violation : report.violations) {
    if (++shown > kViolationsShown) break;
    text << "  seed " << report.options.seed << " at " << VirtualMilliseconds(report, violation)
         << " ms, " << (violation.node.empty() ? "source" : violation.node) << ": "
         << Name(violation.rule) << ": " << violation.detail << "\n";
  }
  text << "wall time: " << wall_ms << " ms\n";
  return text.str();
}

}  // namespace copperlead::simulation
