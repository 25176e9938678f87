#include "simulation/scenarios_faults.h"

#include <algorithm>

namespace copperlead::simulation {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr LinkFaults kOnePercent = {.loss = 0.01, .duplication = 0.01, .reordering = 0.01};
constexpr ZoneIndex kCutZone = 1;

void Edit(Simulator& simulator) { simulator.PublishEdit(simulator.documents().NextEdit()); }

// Starts these nodes in random order, spread over `spread`.
void StartSpread(Simulator& simulator, std::vector<NodeIndex> nodes, Duration spread) {
  for (std::size_t left = nodes.size(); left > 0; --left) {
    std::swap(nodes[left - 1], nodes[simulator.random().Below(left)]);
    simulator.Start(nodes[left - 1]);
    simulator.RunFor(spread / static_cast<Duration::rep>(nodes.size()));
  }
}

std::vector<NodeIndex> AllNodes(const Simulator& simulator) {
  std::vector<NodeIndex> nodes(simulator.topology().node_count());
  for (NodeIndex node = 0; node < nodes.size(); ++node) nodes[node] = node;
  return nodes;
}

void CrashAll(Simulator& simulator, const std::vector<NodeIndex>& nodes) {
  for (const NodeIndex node : nodes) simulator.Crash(node);
}

// With a single zone there is nothing to cut.
ZoneIndex CutZone(const Simulator& simulator) {
  return std::min(kCutZone, simulator.topology().zone_count() - 1);
}

}  // namespace

void RunHerdRestart(Simulator& simulator) {
  Edit(simulator);
  simulator.RunFor(5 * kSecond);
  const std::vector<NodeIndex> nodes = AllNodes(simulator);
  CrashAll(simulator, nodes);
  simulator.RunFor(2 * kSecond);
  StartSpread(simulator, nodes, kSecond);
}

void RunZoneHerdRestart(Simulator& simulator) {
  const std::vector<NodeIndex> nodes = simulator.topology().NodesInZone(CutZone(simulator));
  CrashAll(simulator, nodes);
  Edit(simulator);
  simulator.RunFor(2 * kSecond);
  StartSpread(simulator, nodes, kSecond);
}

void RunReaderKilledAtEdit(Simulator& simulator) {
  simulator.RunFor(simulator.random().DurationBelow(kSecond));
  const std::vector<NodeIndex> readers = simulator.Readers();
  CrashAll(simulator, readers);
  Edit(simulator);
  simulator.RunFor(20 * kSecond);
  StartSpread(simulator, readers, kSecond);
}

void RunZoneCutEdit(Simulator& simulator) {
  const ZoneIndex zone = CutZone(simulator);
  simulator.network().IsolateZone(zone);
  simulator.network().CutSource(zone);
  simulator.RunFor(kSecond);
  Edit(simulator);
  simulator.RunFor(30 * kSecond);
  simulator.Heal();
}

void RunOneWayCut(Simulator& simulator) {
  const ZoneIndex zone = CutZone(simulator);
  for (ZoneIndex other = 0; other < simulator.topology().zone_count(); ++other) {
    if (other != zone) simulator.network().CutZones(zone, other);
  }
  simulator.RunFor(kSecond);
  Edit(simulator);
  simulator.RunFor(20 * kSecond);
  Edit(simulator);
  simulator.RunFor(10 * kSecond);
  simulator.Heal();
}

void RunRegionPartition(Simulator& simulator) {
  const Topology& topology = simulator.topology();
  simulator.network().PartRegions();
  for (ZoneIndex zone = 0; zone < topology.zone_count(); ++zone) {
    if (topology.RegionOfZone(zone) != topology.RegionOfZone(0)) {
      simulator.network().CutSource(zone);
    }
  }
  for (int edit = 0; edit < 3; ++edit) {
    simulator.RunFor(60 * kSecond);
    Edit(simulator);
  }
  simulator.RunFor(5 * kSecond);
  simulator.Heal();
}

void RunPauseThird(Simulator& simulator) {
  Edit(simulator);
  simulator.RunFor(Milliseconds(200));
  for (const NodeIndex node : AllNodes(simulator)) {
    if (node % 3 == 0) simulator.Pause(node);
  }
  simulator.RunFor(15 * kSecond);
  Edit(simulator);
  simulator.RunFor(15 * kSecond);
  for (const NodeIndex node : AllNodes(simulator)) simulator.Wake(node);
}

void RunLossOnePercent(Simulator& simulator) {
  simulator.network().SetFaults(kOnePercent);
  simulator.RunFor(5 * kSecond);
  for (int edit = 0; edit < 5; ++edit) {
    Edit(simulator);
    simulator.RunFor(5 * kSecond + simulator.random().DurationBelow(kSecond));
  }
}

void RunRollingRestart(Simulator& simulator) {
  const std::vector<NodeIndex> nodes = AllNodes(simulator);
  const std::size_t batch = std::max<std::size_t>(1, nodes.size() / 20);
  for (std::size_t first = 0; first < nodes.size(); first += batch) {
    const std::size_t last = std::min(nodes.size(), first + batch);
    for (std::size_t node = first; node < last; ++node) simulator.StopInGoodOrder(nodes[node]);
    simulator.RunFor(Milliseconds(500));
    for (std::size_t node = first; node < last; ++node) simulator.Crash(nodes[node]);
    simulator.RunFor(Milliseconds(1500));
    for (std::size_t node = first; node < last; ++node) simulator.Start(nodes[node]);
    simulator.RunFor(kSecond);
    if (first == nodes.size() / 2 / batch * batch) Edit(simulator);
  }
}

}  // namespace copperlead::simulation
