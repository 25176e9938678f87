#include "simulation/traffic_meter.h"

#include <numeric>

namespace copperlead::simulation {
namespace {

struct KindVisitor {
  TrafficKind operator()(const JoinRequest&) const { return TrafficKind::kJoin; }
  TrafficKind operator()(const JoinReply&) const { return TrafficKind::kJoin; }
  TrafficKind operator()(const Push&) const { return TrafficKind::kDocument; }
  TrafficKind operator()(const PushAck&) const { return TrafficKind::kDocument; }
  TrafficKind operator()(const Pull&) const { return TrafficKind::kDocument; }
  TrafficKind operator()(const Busy&) const { return TrafficKind::kDocument; }
  template <class Other>
  TrafficKind operator()(const Other&) const {
    return TrafficKind::kHeartbeat;
  }
};

}  // namespace

std::string_view Name(TrafficKind kind) {
  constexpr std::array<std::string_view, kTrafficKinds> kNames = {"heartbeat", "join", "document",
                                                                  "source"};
  return kNames.at(static_cast<std::size_t>(kind));
}

TrafficKind KindOf(const MessageBody& body) { return std::visit(KindVisitor{}, body); }

std::uint64_t TrafficTotals::all() const {
  return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t{0});
}

TrafficTotals operator-(const TrafficTotals& after, const TrafficTotals& before) {
  TrafficTotals difference;
  difference.messages = after.messages - before.messages;
  for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
    difference.bytes[kind] = after.bytes[kind] - before.bytes[kind];
  }
  return difference;
}

void TrafficMeter::Count(NodeIndex sender, TrafficKind kind, std::size_t bytes) {
  totals_.bytes[static_cast<std::size_t>(kind)] += bytes;
  ++totals_.messages;
  by_node_[sender] += bytes;
}

}  // namespace copperlead::simulation
