// Everything at once: faults, restarts, pauses, cuts and publications drawn from the seed.

#include "simulation/scenarios_faults.h"

namespace copperlead::simulation {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr int kRounds = 60;
constexpr Duration kRoundLimit = 4 * kSecond;

using Disturbance = void (*)(Simulator&);

NodeIndex AnyNode(Simulator& simulator) {
  return simulator.random().Below(simulator.topology().node_count());
}

ZoneIndex AnyZone(Simulator& simulator) {
  return simulator.random().Below(simulator.topology().zone_count());
}

void Publish(Simulator& simulator) { simulator.PublishEdit(simulator.documents().NextEdit()); }

void PublishBadTable(Simulator& simulator) {
  simulator.PublishEdit(simulator.documents().NextBadTable());
}

void PublishConflict(Simulator& simulator) {
  Publish(simulator);
  simulator.source().BeginConflict(simulator.documents().ConflictWithLatest());
}

void EndConflict(Simulator& simulator) {
  simulator.source().EndConflict();
  Publish(simulator);
}

void ChurnMachines(Simulator& simulator) {
  const std::size_t backend = simulator.random().Below(simulator.documents().backend_count());
  simulator.PublishMachines(simulator.documents().NextMachinesLeaving(backend));
}

void CrashSome(Simulator& simulator) {
  const std::size_t count = 1 + simulator.topology().node_count() / 20;
  for (std::size_t crash = 0; crash < count; ++crash) simulator.Crash(AnyNode(simulator));
}

void CrashReader(Simulator& simulator) {
  const std::vector<NodeIndex> readers = simulator.Readers();
  if (!readers.empty()) simulator.Crash(readers[simulator.random().Below(readers.size())]);
}

void CrashZone(Simulator& simulator) {
  for (const NodeIndex node : simulator.topology().NodesInZone(AnyZone(simulator))) {
    simulator.Crash(node);
  }
}

void StartDown(Simulator& simulator) {
  for (NodeIndex node = 0; node < simulator.topology().node_count(); ++node) {
    simulator.Start(node);
  }
}

void PauseSome(Simulator& simulator) {
  const std::size_t count = 1 + simulator.topology().node_count() / 10;
  for (std::size_t pause = 0; pause < count; ++pause) simulator.Pause(AnyNode(simulator));
}

void WakeAll(Simulator& simulator) {
  for (NodeIndex node = 0; node < simulator.topology().node_count(); ++node) simulator.Wake(node);
}

void CutOneWay(Simulator& simulator) {
  const ZoneIndex from = AnyZone(simulator);
  const ZoneIndex to = AnyZone(simulator);
  if (from != to) simulator.network().CutZones(from, to);
}

void CutZone(Simulator& simulator) { simulator.network().IsolateZone(AnyZone(simulator)); }

void CutSource(Simulator& simulator) { simulator.network().CutSource(AnyZone(simulator)); }

void SilenceNode(Simulator& simulator) { simulator.network().SetMute(AnyNode(simulator), true); }

void DeafenNode(Simulator& simulator) { simulator.network().SetDeaf(AnyNode(simulator), true); }

void HealNetwork(Simulator& simulator) { simulator.network().Heal(); }

void LoseMessages(Simulator& simulator) {
  simulator.network().SetFaults({.loss = 0.05, .duplication = 0.05, .reordering = 0.1});
}

void FailSource(Simulator& simulator) { simulator.source().SetOutage(true); }

void SlowSource(Simulator& simulator) {
  simulator.source().SetExtraServiceTime(Milliseconds(1500));
}

void TurnSourceBack(Simulator& simulator) { simulator.source().GoBack(2); }

void RestoreSource(Simulator& simulator) {
  simulator.source().SetOutage(false);
  simulator.source().SetExtraServiceTime(Duration{});
  simulator.source().GoBack(0);
}

// Repeated entries are drawn more often.
constexpr Disturbance kDisturbances[] = {
    Publish,       Publish,       Publish,       PublishBadTable, PublishConflict, EndConflict,
    CrashSome,     CrashReader,   CrashReader,   CrashZone,       StartDown,       StartDown,
    StartDown,     PauseSome,     PauseSome,     WakeAll,         WakeAll,         CutOneWay,
    CutZone,       CutSource,     SilenceNode,   DeafenNode,      HealNetwork,     HealNetwork,
    HealNetwork,   LoseMessages,  FailSource,    SlowSource,      TurnSourceBack,  RestoreSource,
    RestoreSource, ChurnMachines, ChurnMachines,
};

}  // namespace

void RunChaos(Simulator& simulator) {
  for (int round = 0; round < kRounds; ++round) {
    kDisturbances[simulator.random().Below(std::size(kDisturbances))](simulator);
    simulator.RunFor(simulator.random().DurationBelow(kRoundLimit));
  }
  StartDown(simulator);
  WakeAll(simulator);
  simulator.source().EndConflict();
  simulator.Heal();
  Publish(simulator);
}

}  // namespace copperlead::simulation
