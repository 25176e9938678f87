// Many hollow nodes in one process, and what they cost.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "toolbox/activation_log.h"
#include "toolbox/hollow_node.h"

namespace copperlead {

struct HollowFleetSettings {
  std::size_t nodes = 0;
  std::size_t zones = 1;  // Node i stands in zone i modulo zones.
  std::size_t threads = 1;
  std::string listen_ip;
  std::uint16_t base_port = 0;          // Node i listens on base_port + i; 0: on any free port.
  std::vector<SocketAddress> contacts;  // Empty: the first nodes of this process.
  std::optional<SocketAddress> source;
  FleetKeys keys;
  AgentSettings agent;
};

// Sums of what all nodes of the process have spent since they started.
struct HollowCosts {
  Timestamp when{};
  Duration cpu{};  // Of the whole process, user and system.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bad_frames = 0;
  std::uint64_t unsealed_frames = 0;
  std::uint64_t send_failures = 0;
  std::uint64_t refused_streams = 0;
  // Handed over for sending, by body in the order of kMessageBodyNames.
  std::array<std::uint64_t, kMessageBodyNames.size()> handed_bytes_by_body{};
};

// What the nodes of the process came to.
struct HollowOutcome {
  std::map<std::string, std::size_t> nodes_by_version;
  std::size_t ready_nodes = 0;
  std::size_t readers = 0;
  std::size_t least_live_members = 0;  // In the view of the node that sees the fewest.
  std::uint64_t source_reads = 0;
  std::uint64_t resident_bytes = 0;  // Of the whole process.
};

class HollowFleet {
 public:
  explicit HollowFleet(HollowFleetSettings settings);
  ~HollowFleet();
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;

  // Starts all nodes. @return kAddressInUse naming the first address that is taken.
  Result<Done> Start();
  void Stop();

  ActivationLog& activations() { return activations_; }
  HollowCosts Costs() const;
  HollowOutcome Outcome() const;

 private:
  HollowNodeSettings SettingsOf(std::size_t index) const;
  std::vector<SocketAddress> Contacts() const;

  const HollowFleetSettings settings_;
  ActivationLog activations_;
  std::vector<std::shared_ptr<Reactor>> reactors_;
  std::vector<std::shared_ptr<HollowNode>> nodes_;
};

}  // namespace copperlead
