// The report of a simulation as JSON; docs/INTERFACES.md lists its fields.
#pragma once

#include <cstdint>
#include <string>

#include "simulation/runner.h"

namespace copperlead::simulation {

// @param wall_ms time the run took; the only field that differs between runs of one seed.
// @return one JSON object, indented, without a final line end.
std::string ToJson(const SimulationReport& report, std::uint64_t wall_ms);

// @return a few lines for a terminal.
std::string ToText(const SimulationReport& report, std::uint64_t wall_ms);

}  // namespace copperlead::simulation
