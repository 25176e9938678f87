// Counts control bytes by sending node and by kind of message.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "membership/message.h"
#include "simulation/topology.h"

namespace copperlead::simulation {

enum class TrafficKind : std::uint8_t {
  kHeartbeat,  // Probes, acknowledgements, status queries.
  kJoin,       // Member lists.
  kDocument,   // Pushes, acknowledgements, pulls, busy answers.
  kSource,     // Exchanges with the source, both ways, counted to the reader.
  kCount,
};
inline constexpr std::size_t kTrafficKinds = static_cast<std::size_t>(TrafficKind::kCount);

std::string_view Name(TrafficKind kind);
TrafficKind KindOf(const MessageBody& body);

// Bytes counted since the meter was made.
struct TrafficTotals {
  std::array<std::uint64_t, kTrafficKinds> bytes{};
  std::uint64_t messages = 0;

  std::uint64_t all() const;
};

// @return what was counted from `before` to `after`.
TrafficTotals operator-(const TrafficTotals& after, const TrafficTotals& before);

// Not thread-safe.
class TrafficMeter {
 public:
  explicit TrafficMeter(std::size_t nodes) : by_node_(nodes) {}

  void Count(NodeIndex sender, TrafficKind kind, std::size_t bytes);
  const TrafficTotals& totals() const { return totals_; }
  // Bytes by sending node.
  const std::vector<std::uint64_t>& by_node() const { return by_node_; }

 private:
  TrafficTotals totals_;
  std::vector<std::uint64_t> by_node_;
};

}  // namespace copperlead::simulation
