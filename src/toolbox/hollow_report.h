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
  std::int64_t wall_clock_offset_ms = 0;  // Added to a Timestamp: milliseconds since 1970.
};

// @return one JSON object with a line end.
std::string ToJsonText(const HollowReport& report);
// @return the same for people.
std::string ToText(const HollowReport& report);

}  // namespace copperlead
