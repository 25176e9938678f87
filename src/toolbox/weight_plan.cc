#include "toolbox/weight_plan.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "table/diff.h"

namespace copperlead {
namespace {

constexpr std::uint32_t kWholeWeight = 100;

// One route's way from its first to its last weight.
struct RouteWay {
  std::string route;
  std::uint32_t first = 0;  // old_weight in `from`.
  std::uint32_t last = 0;   // old_weight in `to`.
  std::uint64_t limit = 0;  // max_in_flight; 0: none.
  std::uint32_t Length() const { return first > last ? first - last : last - first; }
};

// How a route's weight goes its way.
enum class Pace {
  kProportion,  // In proportion to its whole way, rounded towards the first weight.
  kFullSpeed,   // max_step points per step until it is there.
};
constexpr Pace kPaces[] = {Pace::kProportion, Pace::kFullSpeed};

struct ServiceWay {
  std::string service;
  std::vector<RouteWay> routes;  // All of the service, moving or not; by route.
  std::uint64_t load = 0;
  SiteSlots available;
  std::uint32_t steps = 0;
  Pace pace = Pace::kProportion;
};

std::uint32_t DivideUp(std::uint32_t dividend, std::uint32_t divisor) {
  return (dividend + divisor - 1) / divisor;
}

// @return the route's old_weight after `step` steps (0: none yet) of `steps`.
std::uint32_t OldWeightAfter(const RouteWay& way, std::uint32_t step, std::uint32_t steps,
                             Pace pace, std::uint32_t max_step) {
  std::uint32_t gone = way.Length();
  if (step < steps) {
    if (pace == Pace::kProportion) gone = way.Length() * step / steps;
    if (pace == Pace::kFullSpeed) gone = std::min(way.Length(), max_step * step);
  }
  return way.first > way.last ? way.first - gone : way.first + gone;
}

// One route's weight on a site, and the most requests that can be in flight on the route.
struct WeightedLimit {
  std::uint32_t weight = 0;
  std::uint64_t limit = 0;  // 0: none.
};

// @return slots needed when `load` falls on the routes in the worst way their limits allow.
std::uint64_t WorstNeed(std::vector<WeightedLimit> routes, std::uint64_t load) {
  std::ranges::sort(routes, std::greater<>(), &WeightedLimit::weight);
  std::uint64_t hundredths = 0;
  std::uint64_t left = load;
  for (const auto& route : routes) {
    const std::uint64_t share = route.limit == 0 ? left : std::min(left, route.limit);
    hundredths += share * route.weight;
    left -= share;
  }
  // More than all limits together was measured: the limits do not hold, so they bound nothing.
  if (left > 0 && !routes.empty()) hundredths = load * routes.front().weight;
  return (hundredths + kWholeWeight - 1) / kWholeWeight;
}

SiteSlots NeedAfter(const ServiceWay& way, std::uint32_t step, std::uint32_t max_step) {
  std::vector<WeightedLimit> old_site;
  std::vector<WeightedLimit> new_site;
  for (const auto& route : way.routes) {
    const std::uint32_t weight = OldWeightAfter(route, step, way.steps, way.pace, max_step);
    old_site.push_back({weight, route.limit});
    new_site.push_back({kWholeWeight - weight, route.limit});
  }
  return {WorstNeed(std::move(old_site), way.load), WorstNeed(std::move(new_site), way.load)};
}

bool Fits(const SiteSlots& needed, const SiteSlots& available) {
  return needed.old_site <= available.old_site && needed.new_site <= available.new_site;
}

// @return the first step after which the service does not fit; 0 when all do.
std::uint32_t FirstMisfit(const ServiceWay& way, std::uint32_t max_step) {
  for (std::uint32_t step = 1; step <= way.steps; ++step) {
    if (!Fits(NeedAfter(way, step, max_step), way.available)) return step;
  }
  return 0;
}

std::string ShortOf(const char* site, std::uint64_t needed, std::uint64_t available) {
  if (needed <= available) return "";
  return std::string(site) + " site needs " + std::to_string(needed) + " slots and has " +
         std::to_string(available) + ": " + std::to_string(needed - available) + " missing";
}

boost::leaf::error_id Impossible(const ServiceWay& way, std::uint32_t step,
                                 std::uint32_t max_step) {
  const SiteSlots needed = NeedAfter(way, step, max_step);
  const std::string old_site = ShortOf("old", needed.old_site, way.available.old_site);
  const std::string new_site = ShortOf("new", needed.new_site, way.available.new_site);
  const std::string both = !old_site.empty() && !new_site.empty() ? ", " : "";
  return Fail(ErrorKind::kImpossiblePlan, "service " + way.service,
              "after step " + std::to_string(step) + " of " + std::to_string(way.steps) + " the " +
                  old_site + both + new_site + "; add instances or move less traffic");
}

// Chooses a pace whose every step fits.
Result<Done> ChoosePace(ServiceWay& way, std::uint32_t max_step) {
  for (const Pace pace : kPaces) {
    way.pace = pace;
    if (FirstMisfit(way, max_step) == 0) return Done{};
  }
  way.pace = kPaces[0];
  return Impossible(way, FirstMisfit(way, max_step), max_step);
}

Result<Done> CheckOnlyWeightsDiffer(const WeightPlanRequest& request) {
  for (const auto& change : Diff(request.from, request.to)) {
    const bool weights_only = change.kind == RowChange::Kind::kChanged &&
                              std::ranges::all_of(change.cells, [](const CellChange& cell) {
                                return cell.column == "old_weight" || cell.column == "new_weight";
                              });
    if (weights_only) continue;
    return Fail(ErrorKind::kUsage, "route " + change.route,
                "the tables differ in more than weights; publish the other changes first "
                "(`copperlead diff` shows them)");
  }
  return Done{};
}

// @return the measured load, or the sum of the routes' limits.
Result<std::uint64_t> LoadOf(const ServiceWay& way,
                             const std::map<std::string, std::uint64_t>& measured) {
  const auto found = measured.find(way.service);
  if (found != measured.end()) return found->second;
  std::uint64_t sum = 0;
  for (const auto& route : way.routes) {
    if (route.limit == 0) {
      return Fail(ErrorKind::kUsage, "service " + way.service,
                  "its load is not known: measure it and name it in --load, or set max_in_flight "
                  "of route " +
                      route.route);
    }
    sum += route.limit;
  }
  return sum;
}

// @return the services that change, with all their routes.
std::vector<ServiceWay> FindWays(const WeightPlanRequest& request) {
  std::map<std::string, ServiceWay> ways;
  for (std::size_t index = 0; index < request.from.rows.size(); ++index) {
    const RouteRow& before = request.from.rows[index];
    const RouteRow& after = request.to.rows[index];
    ServiceWay& way = ways[before.service];
    way.service = before.service;
    way.routes.push_back({before.route, before.old_weight, after.old_weight, before.max_in_flight});
    way.steps = std::max(way.steps, DivideUp(way.routes.back().Length(), request.max_step));
  }
  std::vector<ServiceWay> moving;
  for (auto& entry : ways) {
    if (entry.second.steps > 0) moving.push_back(std::move(entry.second));
  }
  return moving;
}

void AddChanges(const ServiceWay& way, std::uint32_t step, std::uint32_t max_step,
                WeightStep& result) {
  for (const auto& route : way.routes) {
    const auto before = OldWeightAfter(route, step - 1, way.steps, way.pace, max_step);
    const auto after = OldWeightAfter(route, step, way.steps, way.pace, max_step);
    if (before == after) continue;
    result.changes.push_back(
        {way.service, route.route, before, kWholeWeight - before, after, kWholeWeight - after});
  }
}

WeightStep MakeStep(const std::vector<ServiceWay>& ways, std::uint32_t step,
                    const WeightPlanRequest& request) {
  WeightStep result;
  for (const auto& way : ways) {
    if (step > way.steps) continue;
    AddChanges(way, step, request.max_step, result);
    if (!request.slots) continue;
    result.use.push_back({way.service, NeedAfter(way, step, request.max_step), way.available});
  }
  std::ranges::sort(result.changes, {}, &WeightChange::route);
  return result;
}

}  // namespace

Result<WeightPlan> PlanWeights(const WeightPlanRequest& request) {
  if (request.max_step < 1 || request.max_step > kWholeWeight) {
    return Fail(ErrorKind::kUsage, "--max-step", "must be 1 to 100 percentage points");
  }
  BOOST_LEAF_CHECK(CheckOnlyWeightsDiffer(request));
  std::vector<ServiceWay> ways = FindWays(request);
  std::uint32_t steps = 0;
  for (auto& way : ways) {
    steps = std::max(steps, way.steps);
    if (!request.slots) continue;
    BOOST_LEAF_ASSIGN(way.load, LoadOf(way, request.load));
    const auto found = request.slots->find(way.service);
    if (found != request.slots->end()) way.available = found->second;
    BOOST_LEAF_CHECK(ChoosePace(way, request.max_step));
  }
  WeightPlan plan;
  for (std::uint32_t step = 1; step <= steps; ++step) {
    plan.steps.push_back(MakeStep(ways, step, request));
  }
  return plan;
}

}  // namespace copperlead
