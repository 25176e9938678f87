// Agent settings for the two deployments, which trade convergence time against control traffic
// differently.
#pragma once

#include "distribution/agent.h"

namespace copperlead {

// Favours convergence time.
AgentSettings AvlakProfile();

// Favours low control traffic: polls, heartbeats and failure detection are slower.
AgentSettings FerrarisProfile();

}  // namespace copperlead
