// Scenarios about failures of nodes and of the network between them.
#pragma once

#include "simulation/simulator.h"

namespace copperlead::simulation {

void RunHerdRestart(Simulator& simulator);
void RunZoneHerdRestart(Simulator& simulator);
void RunReaderKilledAtEdit(Simulator& simulator);
void RunZoneCutEdit(Simulator& simulator);
void RunOneWayCut(Simulator& simulator);
void RunRegionPartition(Simulator& simulator);
void RunPauseThird(Simulator& simulator);
void RunLossOnePercent(Simulator& simulator);
void RunRollingRestart(Simulator& simulator);
void RunChaos(Simulator& simulator);

}  // namespace copperlead::simulation
