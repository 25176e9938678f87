#include "toolbox/weight_plan.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace copperlead {
namespace {

using ::testing::HasSubstr;

RouteRow Row(const std::string& service, const std::string& route, std::uint32_t old_weight,
             std::uint32_t max_in_flight = 0) {
  RouteRow row;
  row.service = service;
  row.route = route;
  row.old_weight = old_weight;
  row.new_weight = 100 - old_weight;
  row.max_in_flight = max_in_flight;
  return row;
}

// One service on one route, whose old weight goes from `first` to `last`.
WeightPlanRequest OneRoute(std::uint32_t first, std::uint32_t last, std::uint32_t max_step) {
  WeightPlanRequest request;
  request.from.rows = {Row("permit-desk", "/permits", first)};
  request.to.rows = {Row("permit-desk", "/permits", last)};
  request.max_step = max_step;
  return request;
}

// The old weights of one route after each step.
std::vector<std::uint32_t> OldWeights(const WeightPlan& plan, const std::string& route) {
  std::vector<std::uint32_t> weights;
  for (const auto& step : plan.steps) {
    for (const auto& change : step.changes) {
      if (change.route == route) weights.push_back(change.old_weight_after);
    }
  }
  return weights;
}

Outcome<WeightPlan> Plan(const WeightPlanRequest& request) {
  return Resolve([&] { return PlanWeights(request); });
}

TEST(PlanWeightsTest, GoesInTheFewestEvenSteps) {
  struct Case {
    std::uint32_t first;
    std::uint32_t last;
    std::uint32_t max_step;
    std::vector<std::uint32_t> weights;
  };
  const Case cases[] = {
      {100, 0, 100, {0}},
      {100, 0, 50, {50, 0}},
      {100, 0, 30, {75, 50, 25, 0}},
      {0, 100, 40, {33, 66, 100}},
      {60, 50, 10, {50}},
      {60, 49, 10, {55, 49}},
      {50, 50, 10, {}},
  };
  for (const auto& test_case : cases) {
    const auto plan = Plan(OneRoute(test_case.first, test_case.last, test_case.max_step));
    ASSERT_TRUE(plan.ok()) << ToString(plan.error());
    EXPECT_EQ(OldWeights(plan.value(), "/permits"), test_case.weights);
  }
}

TEST(PlanWeightsTest, ShowsTheSlotsThatEachStepNeeds) {
  WeightPlanRequest request = OneRoute(100, 0, 50);
  request.slots = {{"permit-desk", {24, 30}}};
  request.load = {{"permit-desk", 23}};
  const auto plan = Plan(request);
  ASSERT_TRUE(plan.ok()) << ToString(plan.error());
  ASSERT_EQ(plan.value().steps.size(), 2U);
  EXPECT_EQ(plan.value().steps[0].use.at(0).needed, (SiteSlots{12, 12}));
  EXPECT_EQ(plan.value().steps[1].use.at(0).needed, (SiteSlots{0, 23}));
  EXPECT_EQ(plan.value().steps[1].use.at(0).available, (SiteSlots{24, 30}));
}

TEST(PlanWeightsTest, RefusesAPlanThatDoesNotFit) {
  struct Case {
    const char* name;
    SiteSlots slots;
    std::uint64_t load;
    std::string cause;
  };
  const Case cases[] = {
      {"last step",
       {30, 20},
       24,
       "after step 2 of 2 the new site needs 24 slots and has 20: 4 missing"},
      {"first step",
       {30, 8},
       24,
       "after step 1 of 2 the new site needs 12 slots and has 8: 4 missing"},
      {"no instance", {30, 0}, 24, "12 missing"},
      {"old site",
       {11, 30},
       24,
       "after step 1 of 2 the old site needs 12 slots and has 11: 1 missing"},
      {"one slot", {30, 24}, 25, "1 missing"},
  };
  for (const auto& test_case : cases) {
    WeightPlanRequest request = OneRoute(100, 0, 50);
    request.slots = {{"permit-desk", test_case.slots}};
    request.load = {{"permit-desk", test_case.load}};
    const auto plan = Plan(request);
    ASSERT_FALSE(plan.ok()) << test_case.name;
    EXPECT_EQ(plan.error().kind, ErrorKind::kImpossiblePlan) << test_case.name;
    EXPECT_EQ(plan.error().place, "service permit-desk");
    EXPECT_THAT(plan.error().cause, HasSubstr(test_case.cause)) << test_case.name;
  }
}

TEST(PlanWeightsTest, TakesTheSumOfLimitsForAnUnknownLoad) {
  WeightPlanRequest request;
  request.from.rows = {Row("hub", "/a", 100, 6), Row("hub", "/b", 100, 4)};
  request.to.rows = {Row("hub", "/a", 0, 6), Row("hub", "/b", 100, 4)};
  request.max_step = 100;
  request.slots = {{"hub", {10, 6}}};
  const auto plan = Plan(request);
  ASSERT_TRUE(plan.ok()) << ToString(plan.error());
  EXPECT_EQ(plan.value().steps.at(0).use.at(0).needed, (SiteSlots{4, 6}));
  request.load = {{"hub", 11}};  // More than the limits allow: they cannot be trusted.
  EXPECT_EQ(Plan(request).error().kind, ErrorKind::kImpossiblePlan);
  request.load.clear();
  request.from.rows[1].max_in_flight = 0;
  request.to.rows[1].max_in_flight = 0;
  const auto unknown = Plan(request);
  ASSERT_FALSE(unknown.ok());
  EXPECT_EQ(unknown.error().kind, ErrorKind::kUsage);
  EXPECT_THAT(unknown.error().cause, HasSubstr("--load"));
}

TEST(PlanWeightsTest, LeavesAnOverloadedStartAtOnceWhenItCan) {
  WeightPlanRequest request;
  request.from.rows = {Row("hub", "/a", 100, 10), Row("hub", "/b", 100, 10)};
  request.to.rows = {Row("hub", "/a", 0, 10), Row("hub", "/b", 50, 10)};
  request.max_step = 50;
  request.slots = {{"hub", {11, 30}}};  // Needs 20 now; in proportion the first step needs 13.
  const auto plan = Plan(request);
  ASSERT_TRUE(plan.ok()) << ToString(plan.error());
  EXPECT_EQ(plan.value().steps.at(0).use.at(0).needed, (SiteSlots{10, 10}));
}

TEST(PlanWeightsTest, RefusesOtherDifferencesAndBadSteps) {
  WeightPlanRequest added = OneRoute(100, 0, 10);
  added.to.rows.push_back(Row("permit-desk", "/q", 0));
  WeightPlanRequest other_cell = OneRoute(100, 0, 10);
  other_cell.to.rows[0].timeout_ms = 7;
  for (const auto& request : {added, other_cell, OneRoute(100, 0, 0), OneRoute(100, 0, 101)}) {
    const auto plan = Plan(request);
    ASSERT_FALSE(plan.ok());
    EXPECT_EQ(plan.error().kind, ErrorKind::kUsage) << ToString(plan.error());
  }
}

// Random services. Whatever plan comes out keeps its bounds for every split of the load tried.
class RandomPlans {
 public:
  WeightPlanRequest Next() {
    WeightPlanRequest request;
    request.max_step = 1 + random_() % 40;
    const std::size_t routes = 1 + random_() % 5;
    std::uint64_t limits = 0;
    for (std::size_t index = 0; index < routes; ++index) {
      const std::uint32_t limit = 1 + random_() % 20;
      const std::string route = "/r" + std::to_string(index);
      request.from.rows.push_back(Row("hub", route, random_() % 101, limit));
      request.to.rows.push_back(Row("hub", route, random_() % 101, limit));
      limits += limit;
    }
    request.load = {{"hub", 1 + random_() % limits}};
    request.slots = {{"hub", {random_() % 60, random_() % 60}}};
    return request;
  }

  // Any split of the load over the routes that keeps to their limits.
  std::vector<std::uint64_t> Split(const WeightPlanRequest& request) {
    std::vector<std::uint64_t> split(request.from.rows.size(), 0);
    for (std::uint64_t left = request.load.at("hub"); left > 0;) {
      const std::size_t index = random_() % split.size();
      if (split[index] == request.from.rows[index].max_in_flight) continue;
      ++split[index];
      --left;
    }
    return split;
  }

 private:
  std::mt19937 random_{20261202};
};

void ApplyStep(const WeightStep& step, std::uint32_t max_step, Table& table) {
  for (const auto& change : step.changes) {
    const auto row = std::ranges::find(table.rows, change.route, &RouteRow::route);
    ASSERT_NE(row, table.rows.end());
    ASSERT_EQ(row->old_weight, change.old_weight_before);
    ASSERT_EQ(change.old_weight_after + change.new_weight_after, 100U);
    const int moved =
        static_cast<int>(change.old_weight_after) - static_cast<int>(change.old_weight_before);
    ASSERT_LE(std::abs(moved), static_cast<int>(max_step));
    row->old_weight = change.old_weight_after;
    row->new_weight = change.new_weight_after;
  }
}

void ExpectFits(const Table& table, const std::vector<std::uint64_t>& split,
                const SiteSlots& slots) {
  std::uint64_t old_site = 0;
  std::uint64_t new_site = 0;
  for (std::size_t index = 0; index < split.size(); ++index) {
    old_site += split[index] * table.rows[index].old_weight;
    new_site += split[index] * table.rows[index].new_weight;
  }
  EXPECT_LE(old_site, slots.old_site * 100);
  EXPECT_LE(new_site, slots.new_site * 100);
}

TEST(PlanWeightsTest, EveryStepOfRandomPlansKeepsItsBounds) {
  constexpr int kRounds = 3000;
  RandomPlans source;
  int planned = 0;
  for (int round = 0; round < kRounds; ++round) {
    const WeightPlanRequest request = source.Next();
    const auto plan = Plan(request);
    if (!plan.ok()) {
      ASSERT_EQ(plan.error().kind, ErrorKind::kImpossiblePlan) << ToString(plan.error());
      continue;
    }
    ++planned;
    Table table = request.from;
    for (const auto& step : plan.value().steps) {
      ASSERT_NO_FATAL_FAILURE(ApplyStep(step, request.max_step, table));
      for (int split = 0; split < 5; ++split) {
        ExpectFits(table, source.Split(request), request.slots->at("hub"));
      }
    }
    ASSERT_EQ(table, request.to);
  }
  EXPECT_GT(planned, kRounds / 4);
  EXPECT_LT(planned, kRounds * 9 / 10);
}

}  // namespace
}  // namespace copperlead
