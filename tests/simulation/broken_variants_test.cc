// Each check fails on a variant that breaks its rule, and passes on the same run without it.

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/simulation/run_options.h"

namespace copperlead::simulation {
namespace {

struct BrokenCase {
  std::string_view variant;   // Of --broken.
  std::string_view scenario;  // In which it shows.
  Rule rule;                  // That must name it.
  std::size_t nodes = 20;
};

std::ostream& operator<<(std::ostream& out, const BrokenCase& test) { return out << test.variant; }

constexpr BrokenCase kCases[] = {
    {"accept-older", "source-back-in-time", Rule::kRevisionFell},
    {"ignore-floor", "source-back-in-time", Rule::kBelowFloor},
    {"accept-incomplete", "incomplete-table", Rule::kUnresolvedName},
    {"accept-faulty", "bad-table", Rule::kTableNotAccepted},
    {"replace-on-conflict", "conflicting-content", Rule::kTableReplaced},
    {"half-applied", "one-edit", Rule::kMixedTable},
    {"lost-activations", "one-edit", Rule::kActivationLost},
    {"lost-activations", "one-edit", Rule::kNotSettled},
    {"forgetful-peers", "zone-herd-restart", Rule::kFloorForgotten},
    {"every-node-reads", "quiet", Rule::kSourceReads, 60},
    {"no-repair", "pause-third", Rule::kNotSettled, 60},
};

SimulationOptions OptionsFor(const BrokenCase& test) {
  SimulationOptions options = SmallFleet(test.scenario);
  options.nodes = test.nodes;
  return options;
}

class BrokenVariantsTest : public ::testing::TestWithParam<BrokenCase> {};

TEST_P(BrokenVariantsTest, IsCaughtByItsCheck) {
  SimulationOptions options = OptionsFor(GetParam());
  for (const BrokenSwitch& broken : AllBrokenSwitches()) {
    if (broken.name == GetParam().variant) broken.apply(options.broken);
  }
  const SimulationReport report = RunOptions(options);
  const auto is_named = [&](const Violation& violation) {
    return violation.rule == GetParam().rule;
  };
  EXPECT_TRUE(std::any_of(report.violations.begin(), report.violations.end(), is_named))
      << "no violation of " << Name(GetParam().rule) << "\n"
      << ToText(report, 0);
}

TEST_P(BrokenVariantsTest, PassesWithoutTheFault) {
  const SimulationReport report = RunOptions(OptionsFor(GetParam()));
  EXPECT_EQ(report.violation_count, 0u) << ToText(report, 0);
}

INSTANTIATE_TEST_SUITE_P(All, BrokenVariantsTest, ::testing::ValuesIn(kCases),
                         [](const auto& test) {
                           std::string name(test.param.variant);
                           name += "_" + std::string(test.param.scenario) + "_" +
                                   std::string(Name(test.param.rule));
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace copperlead::simulation
