#include "simulation/scenario.h"

#include <algorithm>

#include "simulation/scenarios_faults.h"
#include "simulation/scenarios_source.h"

namespace copperlead::simulation {

const std::vector<Scenario>& AllScenarios() {
  static const std::vector<Scenario> scenarios = {
      {"quiet", "nothing happens for a minute", RunQuiet},
      {"one-edit", "one cell is edited", RunOneEdit},
      {"edit-burst", "ten edits, each before the last one settled", RunEditBurst},
      {"herd-restart", "every node crashes and returns within a second", RunHerdRestart},
      {"zone-herd-restart", "every node of one zone crashes and returns", RunZoneHerdRestart},
      {"reader-killed-at-edit", "the readers of all zones crash as a cell is edited",
       RunReaderKilledAtEdit},
      {"source-outage", "the source is down for a minute, with an edit meanwhile", RunSourceOutage},
      {"source-back-in-time", "the source is restored from a backup; a third restarts",
       RunSourceBackInTime},
      {"conflicting-content", "two contents are published as one revision", RunConflictingContent},
      {"zone-cut-edit", "a zone is cut off from the others and the source during an edit",
       RunZoneCutEdit},
      {"one-way-cut", "one zone hears the others but is not heard, during an edit", RunOneWayCut},
      {"region-partition", "the regions are parted for three minutes, with edits",
       RunRegionPartition},
      {"pause-third", "a third of the nodes is paused, then woken with old messages delivered",
       RunPauseThird},
      {"loss-1-percent", "1 % loss, duplication and reordering during five edits",
       RunLossOnePercent},
      {"bad-table", "a table with a fault is published, then a good one", RunBadTable},
      {"incomplete-table", "a table names a secret that comes ten seconds later",
       RunIncompleteTable},
      {"endpoint-churn", "56 back ends restart within a minute", RunEndpointChurn},
      {"rolling-restart", "every node leaves in good order and returns, a few at a time",
       RunRollingRestart},
      {"chaos", "everything at once, seeded, for two minutes", RunChaos},
  };
  return scenarios;
}

const Scenario* ScenarioNamed(std::string_view name) {
  const auto& scenarios = AllScenarios();
  const auto found = std::find_if(scenarios.begin(), scenarios.end(),
                                  [&](const Scenario& scenario) { return scenario.name == name; });
  return found == scenarios.end() ? nullptr : &*found;
}

}  // namespace copperlead::simulation
