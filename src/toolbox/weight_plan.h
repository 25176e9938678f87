// Plans how the weights of one table become those of another in bounded steps that both sites'
// slots can carry. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "table/table.h"

namespace copperlead {

// Requests that each site of one service can work on at a time.
struct SiteSlots {
  std::uint64_t old_site = 0;
  std::uint64_t new_site = 0;

  bool operator==(const SiteSlots&) const = default;
};

struct WeightPlanRequest {
  Table from;                  // Canonical.
  Table to;                    // Canonical; differs from `from` in weights only.
  std::uint32_t max_step = 1;  // Percentage points per route and step, 1 to 100.
  // Slots by service. Nothing: slots are unknown and any weights are taken to fit.
  std::optional<std::map<std::string, SiteSlots>> slots;
  // Requests in flight by service, as measured. For a service that is not listed, the sum of its
  // routes' max_in_flight is taken.
  std::map<std::string, std::uint64_t> load;
};

// New weights of one route.
struct WeightChange {
  std::string service;
  std::string route;
  std::uint32_t old_weight_before = 0;
  std::uint32_t new_weight_before = 0;
  std::uint32_t old_weight_after = 0;
  std::uint32_t new_weight_after = 0;
};

// What one service needs of its sites once a step is in force everywhere.
struct SlotUse {
  std::string service;
  SiteSlots needed;
  SiteSlots available;
};

struct WeightStep {
  std::vector<WeightChange> changes;  // By route.
  std::vector<SlotUse> use;           // Of the services that change; empty without slots.
};

// The steps in order; none when the weights are the same.
struct WeightPlan {
  std::vector<WeightStep> steps;
};

// Plans the fewest steps. Routes of one service move together, each in proportion to its whole
// way, which keeps a site's need between that of the first and of the last table.
//
// How a service's load falls on its routes is not measured: a site's need is the most that any
// split allows in which no route exceeds its max_in_flight (0: no limit). While a step spreads,
// each proxy runs the table before or after it, so the need is never above the greater of the two.
//
// @return kUsage when the tables differ in more than weights, when max_step is out of range or
//         when a load is not known; kImpossiblePlan naming service, site, step and the slots
//         missing when a step would not fit.
Result<WeightPlan> PlanWeights(const WeightPlanRequest& request);

}  // namespace copperlead
