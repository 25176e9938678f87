#include "simulation/scenarios_source.h"

namespace copperlead::simulation {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kEditSettles = 10 * kSecond;

// Lets up to one poll interval pass, so that edits fall at any phase of the polls.
void RunToRandomPhase(Simulator& simulator) {
  simulator.RunFor(simulator.random().DurationBelow(kSecond));
}

void CrashThird(Simulator& simulator) {
  for (NodeIndex node = 0; node < simulator.topology().node_count(); node += 3) {
    simulator.Crash(node);
  }
}

void StartAll(Simulator& simulator) {
  for (NodeIndex node = 0; node < simulator.topology().node_count(); ++node) {
    simulator.Start(node);
  }
}

// Long enough for a join to be answered by another region, too short for a document.
constexpr Duration kJoinButNoDocument = Milliseconds(40);

// The last zone restarts, hears from another region what it ran, and is cut off before it gets
// that version: it is left with the source.
void RestartZoneAndCutItOff(Simulator& simulator) {
  const Topology& topology = simulator.topology();
  const ZoneIndex zone = topology.zone_count() - 1;
  const std::vector<NodeIndex> nodes = topology.NodesInZone(zone);
  for (ZoneIndex other = 0; other < zone; ++other) {
    if (topology.RegionOfZone(other) != topology.RegionOfZone(zone)) continue;
    simulator.network().CutZones(zone, other);
    simulator.network().CutZones(other, zone);
  }
  for (const NodeIndex node : nodes) simulator.Crash(node);
  simulator.RunFor(2 * kSecond);
  for (const NodeIndex node : nodes) simulator.Start(node);
  simulator.RunFor(kJoinButNoDocument);
  simulator.network().IsolateZone(zone);
}

}  // namespace

void RunQuiet(Simulator& simulator) { simulator.RunFor(60 * kSecond); }

void RunOneEdit(Simulator& simulator) {
  RunToRandomPhase(simulator);
  simulator.PublishEdit(simulator.documents().NextEdit());
  simulator.RunFor(kEditSettles);
}

void RunEditBurst(Simulator& simulator) {
  RunToRandomPhase(simulator);
  for (int edit = 0; edit < 10; ++edit) {
    simulator.PublishEdit(simulator.documents().NextEdit());
    simulator.RunFor(Milliseconds(50 + simulator.random().Below(200)));
  }
}

void RunSourceOutage(Simulator& simulator) {
  simulator.source().SetOutage(true);
  simulator.RunFor(20 * kSecond);
  simulator.PublishEdit(simulator.documents().NextEdit());
  simulator.RunFor(40 * kSecond);
  simulator.Heal();
}

void RunSourceBackInTime(Simulator& simulator) {
  for (int edit = 0; edit < 3; ++edit) {
    simulator.PublishEdit(simulator.documents().NextEdit());
    simulator.RunFor(5 * kSecond);
  }
  simulator.source().GoBack(2);
  simulator.RunFor(5 * kSecond);
  CrashThird(simulator);
  simulator.RunFor(2 * kSecond);
  StartAll(simulator);
  simulator.RunFor(20 * kSecond);
  RestartZoneAndCutItOff(simulator);
  simulator.RunFor(45 * kSecond);
  simulator.Heal();
  simulator.PublishEdit(simulator.documents().NextEdit());
}

void RunConflictingContent(Simulator& simulator) {
  simulator.PublishEdit(simulator.documents().NextEdit());
  simulator.source().BeginConflict(simulator.documents().ConflictWithLatest());
  simulator.RunFor(20 * kSecond);
  simulator.source().EndConflict();
  simulator.Heal();
  simulator.PublishEdit(simulator.documents().NextEdit());
}

void RunBadTable(Simulator& simulator) {
  simulator.PublishEdit(simulator.documents().NextBadTable());
  simulator.RunFor(15 * kSecond);
  simulator.PublishEdit(simulator.documents().NextEdit());
}

void RunIncompleteTable(Simulator& simulator) {
  simulator.PublishEdit(simulator.documents().NextIncompleteTable());
  simulator.RunFor(10 * kSecond);
  simulator.PublishEdit(simulator.documents().CompleteLatest());
}

void RunEndpointChurn(Simulator& simulator) {
  constexpr std::size_t kRestarts = 56;
  const Duration step = 60 * kSecond / (2 * kRestarts);
  std::size_t returning = 0;
  for (std::size_t restart = 0; restart < kRestarts; ++restart) {
    const std::size_t backend = simulator.random().Below(simulator.documents().backend_count());
    simulator.PublishMachines(simulator.documents().NextMachinesLeaving(backend));
    simulator.RunFor(step);
    if (restart > 0) {
      simulator.PublishMachines(simulator.documents().NextMachinesReturned(returning));
    }
    returning = backend;
    simulator.RunFor(step);
  }
}

}  // namespace copperlead::simulation
