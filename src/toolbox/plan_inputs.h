// Reads what `copperlead plan` works on: tables, machines, settings of services, measured load.
#pragma once

#include <string>

#include "base/result.h"
#include "toolbox/weight_plan.h"

namespace copperlead {

// Paths and values as given; empty: not given.
struct PlanOptions {
  std::string from;
  std::string to;
  std::string max_step;
  std::string configuration;
  std::string machines;
  std::string load;
};

// @return the request, with slots only when machines are given; kUnreadableFile, or kUsage that
//         names the option or file and what to do next.
Result<WeightPlanRequest> ReadPlanInputs(const PlanOptions& options);

// Reads {"service": in_flight}. @return kMalformedJson or kBadValue with the place.
Result<std::map<std::string, std::uint64_t>> ParseLoad(std::string_view body);

}  // namespace copperlead
