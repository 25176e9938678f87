// What one simulation is asked to do.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "distribution/agent.h"
#include "simulation/network_model.h"

namespace copperlead::simulation {

// Which users' places and priorities: Avlak weighs convergence time, Ferraris control bytes.
enum class NetworkProfile : std::uint8_t { kAvlak, kFerraris };

// Deliberately broken variants, which show that each check can fail. See kBrokenVariants.
struct BrokenVariant {
  LedgerFaults ledger;
  bool half_applied = false;      // An activation leaves half of the previous table in place.
  bool forgetful_peers = false;   // Join replies tell nothing of the asking node's past.
  bool every_node_reads = false;  // No reader is elected.
  bool no_repair = false;         // What the push tree lost stays lost.
  bool lost_activations = false;  // The shell drops every activation after a node's first.
};

// One switch of --broken.
struct BrokenSwitch {
  std::string_view name;
  std::string_view summary;
  void (*apply)(BrokenVariant&);
};
const std::vector<BrokenSwitch>& AllBrokenSwitches();

struct SimulationOptions {
  std::size_t nodes = 10;
  std::size_t zones = 5;
  std::size_t regions = 2;
  std::uint64_t seed = 1;
  std::string scenario = "one-edit";
  Strategy strategy = Strategy::kFull;
  NetworkProfile profile = NetworkProfile::kAvlak;
  std::optional<std::size_t> fan_out;       // Instead of the profile's.
  std::optional<Duration> source_interval;  // Instead of the profile's.
  std::optional<Duration> probe_interval;   // Instead of the profile's.
  std::size_t services = 85;                // Of the simulated table, ten routes each.
  BrokenVariant broken;
  std::ostream* trace = nullptr;  // Gets a line for each action but messages.
};

// Names as on the command line.
std::string_view Name(Strategy strategy);
std::string_view Name(NetworkProfile profile);
std::optional<Strategy> StrategyNamed(std::string_view name);
std::optional<NetworkProfile> ProfileNamed(std::string_view name);

// Checks sizes and names. @return kUsage naming the option, its value and what is allowed.
Result<Done> CheckOptions(const SimulationOptions& options);

// Settings of every node's agent under these options.
AgentSettings AgentSettingsFor(const SimulationOptions& options);

LatencyProfile LatencyProfileFor(NetworkProfile profile);

// Most reads of the source in any second, both documents together. Each zone has one reader of
// each document, which reads at most 1 + ceil(1 s / interval) times in a second; while the role
// moves, the node that had it and the one that takes it may both read. The fleet's size is not in
// it.
std::size_t SourceReadBound(std::size_t zones, Duration source_interval);

}  // namespace copperlead::simulation
