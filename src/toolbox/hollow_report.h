// What `copperlead hollow` prints.
#pragma once

#include <string>

#include "toolbox/hollow_fleet.h"

namespace copperlead {

struct HollowReport {
  std::size_t nodes = 0;
  std::size_t zones = 0;
  std::string profile;
  HollowCosts before;  // When the measured time began.
  HollowCosts after;
  HollowOutcome outcome;
  std::vector<VersionSpread> spreads;
};

// @return one JSON object with a line end. Times of activations are those of the machine's
//         monotonic clock, which all processes share and nobody sets.
std::string ToJsonText(const HollowReport& report);
// @return the same for people.
std::string ToText(const HollowReport& report);

}  // namespace copperlead
