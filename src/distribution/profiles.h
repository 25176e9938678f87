// Settings of the deciding code for the two users, who weigh time and bytes differently.
#pragma once

#include "distribution/agent.h"

namespace copperlead {

// Convergence time goes first.
AgentSettings AvlakProfile();

// Control bytes go first: slower polls and heartbeats, slower detection.
AgentSettings FerrarisProfile();

}  // namespace copperlead
