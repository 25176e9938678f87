#include "toolbox/hollow_report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace copperlead {
namespace {

constexpr double kBytesPerKilobyte = 1024;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double ToMilliseconds(Duration duration) { return 1000 * Seconds(duration); }

// Rates of one node, over the measured time.
struct NodeRates {
  double seconds = 0;
  double cpu_percent = 0;  // Of one core.
  double sent_bytes = 0;   // All further ones per second.
  double received_bytes = 0;
  double sent_messages = 0;
  double received_messages = 0;
};

NodeRates RatesOf(const HollowReport& report) {
  const HollowCosts& before = report.before;
  const HollowCosts& after = report.after;
  NodeRates rates;
  rates.seconds = Seconds(after.when - before.when);
  const double per_node_second =
      1 / std::max(rates.seconds * static_cast<double>(report.nodes), 1e-9);
  const auto rate = [&](std::uint64_t first, std::uint64_t last) {
    return static_cast<double>(last - first) * per_node_second;
  };
  rates.cpu_percent = 100 * Seconds(after.cpu - before.cpu) * per_node_second;
  rates.sent_bytes = rate(before.bytes_sent, after.bytes_sent);
  rates.received_bytes = rate(before.bytes_received, after.bytes_received);
  rates.sent_messages = rate(before.messages_sent, after.messages_sent);
  rates.received_messages = rate(before.messages_received, after.messages_received);
  return rates;
}

double ResidentKilobytesPerNode(const HollowReport& report) {
  const auto nodes = static_cast<double>(std::max<std::size_t>(report.nodes, 1));
  return static_cast<double>(report.outcome.resident_bytes) / kBytesPerKilobyte / nodes;
}

nlohmann::json SpreadToJson(const VersionSpread& spread) {
  return {{"revision", spread.revision},
          {"resource_epoch", spread.resource_epoch},
          {"nodes", spread.nodes},
          {"first_monotonic_ms", ToMilliseconds(spread.first.time_since_epoch())},
          {"p50_ms", ToMilliseconds(spread.median)},
          {"p99_ms", ToMilliseconds(spread.p99)},
          {"last_ms", ToMilliseconds(spread.last)}};
}

// Bytes of a node in the measured time, by what its messages carried.
nlohmann::json BytesByBody(const HollowReport& report) {
  nlohmann::json bytes = nlohmann::json::object();
  const auto nodes = static_cast<double>(std::max<std::size_t>(report.nodes, 1));
  for (std::size_t body = 0; body < kMessageBodyNames.size(); ++body) {
    const std::uint64_t handed =
        report.after.handed_bytes_by_body[body] - report.before.handed_bytes_by_body[body];
    bytes[std::string(kMessageBodyNames[body])] = static_cast<double>(handed) / nodes;
  }
  return bytes;
}

}  // namespace

std::string ToJsonText(const HollowReport& report) {
  const NodeRates rates = RatesOf(report);
  nlohmann::json versions = nlohmann::json::array();
  for (const auto& spread : report.spreads) versions.push_back(SpreadToJson(spread));
  const nlohmann::json object = {
      {"nodes", report.nodes},
      {"zones", report.zones},
      {"profile", report.profile},
      {"seconds", rates.seconds},
      {"cpu_percent_per_node", rates.cpu_percent},
      {"resident_kb_per_node", ResidentKilobytesPerNode(report)},
      {"sent_bytes_per_node_per_second", rates.sent_bytes},
      {"received_bytes_per_node_per_second", rates.received_bytes},
      {"sent_messages_per_node_per_second", rates.sent_messages},
      {"received_messages_per_node_per_second", rates.received_messages},
      {"bytes_sent_before_per_node",
       static_cast<double>(report.before.bytes_sent) / static_cast<double>(report.nodes)},
      {"bytes_per_node_by_message", BytesByBody(report)},
      {"running", report.outcome.nodes_by_version},
      {"ready_nodes", report.outcome.ready_nodes},
      {"readers", report.outcome.readers},
      {"least_live_members", report.outcome.least_live_members},
      {"source_reads", report.outcome.source_reads},
      {"bad_frames", report.after.bad_frames},
      {"unsealed_frames", report.after.unsealed_frames},
      {"send_failures", report.after.send_failures},
      {"refused_streams", report.after.refused_streams},
      {"versions", versions}};
  return object.dump() + "\n";
}

std::string ToText(const HollowReport& report) {
  const NodeRates rates = RatesOf(report);
  std::ostringstream text;
  text << std::fixed << std::setprecision(2);
  text << report.nodes << " nodes in " << report.zones << " zones (" << report.profile << "), "
       << rates.seconds << " s; per node:\n"
       << "  CPU " << rates.cpu_percent << " % of a core, " << ResidentKilobytesPerNode(report)
       << " KB resident\n"
       << "  sent " << rates.sent_bytes << " B/s in " << rates.sent_messages
       << " messages/s, received " << rates.received_bytes << " B/s in " << rates.received_messages
       << " messages/s\n"
       << "ready " << report.outcome.ready_nodes << ", readers " << report.outcome.readers
       << ", least live members seen " << report.outcome.least_live_members << ", source reads "
       << report.outcome.source_reads << "\n";
  for (const auto& [version, nodes] : report.outcome.nodes_by_version) {
    text << "  revision " << version << ": " << nodes << " nodes\n";
  }
  for (const auto& spread : report.spreads) {
    text << "  revision " << spread.revision << " took force on " << spread.nodes << " nodes in "
         << ToMilliseconds(spread.last) << " ms (median " << ToMilliseconds(spread.median)
         << ", p99 " << ToMilliseconds(spread.p99) << ") from the first\n";
  }
  return text.str();
}

}  // namespace copperlead
