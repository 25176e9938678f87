#include "simulation/options.h"

#include <algorithm>
#include <array>

#include "distribution/profiles.h"

namespace copperlead::simulation {
namespace {

constexpr std::size_t kMaxNodes = 5000;
constexpr std::size_t kMaxZones = 200;
constexpr std::size_t kDocuments = 2;
constexpr std::size_t kReadersWhileRoleMoves = 2;

struct StrategyName {
  Strategy strategy;
  std::string_view name;
};
constexpr std::array<StrategyName, 5> kStrategies = {{
    {Strategy::kFull, "full"},
    {Strategy::kEveryNodePolls, "every-node-polls"},
    {Strategy::kFlatPush, "flat-push"},
    {Strategy::kGossipOnly, "gossip-only"},
    {Strategy::kTreeOnly, "tree-only"},
}};

Result<Done> CheckRange(const char* option, std::size_t value, std::size_t low, std::size_t high) {
  if (value >= low && value <= high) return Done{};
  return Fail(ErrorKind::kUsage, option,
              std::to_string(value) + " is not from " + std::to_string(low) + " to " +
                  std::to_string(high));
}

}  // namespace

const std::vector<BrokenSwitch>& AllBrokenSwitches() {
  static const std::vector<BrokenSwitch> switches = {
      {"accept-older", "a node takes a lower revision than it runs",
       [](BrokenVariant& broken) { broken.ledger.accept_older = true; }},
      {"ignore-floor", "a restarted node takes less than peers remember of it",
       [](BrokenVariant& broken) { broken.ledger.ignore_floor = true; }},
      {"accept-incomplete", "a table is taken while names in it do not resolve",
       [](BrokenVariant& broken) { broken.ledger.accept_incomplete = true; }},
      {"accept-faulty", "a table with faults is taken",
       [](BrokenVariant& broken) { broken.ledger.accept_faulty = true; }},
      {"replace-on-conflict", "another table of the same revision replaces the running one",
       [](BrokenVariant& broken) { broken.ledger.replace_on_conflict = true; }},
      {"half-applied", "an activation leaves rows of the previous table in place",
       [](BrokenVariant& broken) { broken.half_applied = true; }},
      {"lost-activations", "the data path misses every activation after its first",
       [](BrokenVariant& broken) { broken.lost_activations = true; }},
      {"forgetful-peers", "join replies tell nothing of the asking node's past",
       [](BrokenVariant& broken) { broken.forgetful_peers = true; }},
      {"every-node-reads", "every node reads the source",
       [](BrokenVariant& broken) { broken.every_node_reads = true; }},
      {"no-repair", "what the push tree lost stays lost",
       [](BrokenVariant& broken) { broken.no_repair = true; }},
  };
  return switches;
}

std::string_view Name(Strategy strategy) {
  for (const StrategyName& entry : kStrategies) {
    if (entry.strategy == strategy) return entry.name;
  }
  return "";
}

std::string_view Name(NetworkProfile profile) {
  return profile == NetworkProfile::kAvlak ? "avlak" : "ferraris";
}

std::optional<Strategy> StrategyNamed(std::string_view name) {
  for (const StrategyName& entry : kStrategies) {
    if (entry.name == name) return entry.strategy;
  }
  return std::nullopt;
}

std::optional<NetworkProfile> ProfileNamed(std::string_view name) {
  if (name == "avlak") return NetworkProfile::kAvlak;
  if (name == "ferraris") return NetworkProfile::kFerraris;
  return std::nullopt;
}

Result<Done> CheckOptions(const SimulationOptions& options) {
  BOOST_LEAF_CHECK(CheckRange("--nodes", options.nodes, 1, kMaxNodes));
  BOOST_LEAF_CHECK(CheckRange("--zones", options.zones, 1, std::min(kMaxZones, options.nodes)));
  BOOST_LEAF_CHECK(CheckRange("--regions", options.regions, 1, options.zones));
  BOOST_LEAF_CHECK(CheckRange("--services", options.services, 1, 10'000));
  if (options.fan_out) BOOST_LEAF_CHECK(CheckRange("--fan-out", *options.fan_out, 1, 1000));
  return Done{};
}

AgentSettings AgentSettingsFor(const SimulationOptions& options) {
  AgentSettings settings =
      options.profile == NetworkProfile::kFerraris ? FerrarisProfile() : AvlakProfile();
  settings.strategy = options.strategy;
  if (options.broken.every_node_reads) settings.strategy = Strategy::kEveryNodePolls;
  if (options.broken.no_repair) settings.strategy = Strategy::kTreeOnly;
  settings.faults = options.broken.ledger;
  if (options.fan_out) settings.fan_out = *options.fan_out;
  if (options.source_interval) settings.source_interval = *options.source_interval;
  if (options.probe_interval) settings.membership.probe_interval = *options.probe_interval;
  return settings;
}

LatencyProfile LatencyProfileFor(NetworkProfile profile) {
  LatencyProfile latencies;
  if (profile == NetworkProfile::kFerraris) {
    latencies.within_zone = std::chrono::microseconds(500);
    latencies.between_zones = std::chrono::microseconds(1500);
  }
  return latencies;
}

std::size_t SourceReadBound(std::size_t zones, Duration source_interval) {
  const Duration second = std::chrono::seconds(1);
  const auto per_second =
      static_cast<std::size_t>((second + source_interval - Duration(1)) / source_interval);
  return kDocuments * kReadersWhileRoleMoves * zones * (1 + per_second);
}

}  // namespace copperlead::simulation
