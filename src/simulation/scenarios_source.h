// Scenarios about what the source publishes, and about failures of the source itself.
#pragma once

#include "simulation/simulator.h"

namespace copperlead::simulation {

void RunQuiet(Simulator& simulator);
void RunOneEdit(Simulator& simulator);
void RunEditBurst(Simulator& simulator);
void RunSourceOutage(Simulator& simulator);
void RunSourceBackInTime(Simulator& simulator);
void RunConflictingContent(Simulator& simulator);
void RunBadTable(Simulator& simulator);
void RunIncompleteTable(Simulator& simulator);
void RunEndpointChurn(Simulator& simulator);

}  // namespace copperlead::simulation
