// The result of `copperlead load` as JSON and as text.
#pragma once

#include <optional>
#include <string>

#include "toolbox/load_process_usage.h"
#include "toolbox/load_run.h"

namespace copperlead {

struct LoadReport {
  LoadPlan plan;
  LoadResult target;
  std::optional<LoadResult> direct;  // Of the same schedule, sent beside the target's.
  // Of the watched process, before the first and after the last request.
  std::optional<ProcessUsage> before;
  std::optional<ProcessUsage> after;
};

std::string ToJsonText(const LoadReport& report);
std::string ToText(const LoadReport& report);

}  // namespace copperlead
