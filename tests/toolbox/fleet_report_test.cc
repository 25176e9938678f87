#include "toolbox/fleet_report.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "admin/node_status.h"

namespace copperlead {
namespace {

NodeStatus StatusOf(std::vector<FleetEntry> fleet) {
  NodeStatus status;
  status.id = "node-1";
  status.zone = "ank-a";
  status.revision = 7;
  status.source.state = "healthy";
  status.fleet = std::move(fleet);
  return status;
}

FleetReport ReportOf(const NodeStatus& status) {
  const auto outcome = Resolve([&] { return ReadFleetReport(StatusToJson(status)); });
  EXPECT_TRUE(outcome.ok()) << ToString(outcome.error());
  return outcome.value();
}

constexpr auto kAlive = MemberState::kAlive;

// A fleet and what the report must say of it.
struct SettledCase {
  const char* name;
  std::vector<FleetEntry> fleet;
  bool settled;
  std::size_t laggards;
  std::size_t cut_off_zones;
};

TEST(FleetReportTest, SaysWhoIsBehindAndWhichZoneIsCutOff) {
  const SettledCase cases[] = {
      {"all at one revision",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-b", kAlive, 7, 10}},
       true,
       0,
       0},
      {"one behind",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-b", kAlive, 6, 10}},
       false,
       1,
       0},
      {"one not heard of yet counts as behind",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-b", kAlive, 0, std::nullopt}},
       false,
       1,
       0},
      {"the asked node itself is behind",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-b", kAlive, 8, 10}},
       false,
       1,
       0},
      {"a dead machine in a live zone",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-a", MemberState::kDead, 6, 9000}},
       true,
       0,
       0},
      {"a whole zone is silent",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-b", MemberState::kSuspect, 7, 9000}},
       false,
       0,
       1},
      {"a suspect machine in a live zone may live and run something older",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-a", MemberState::kSuspect, 7, 900}},
       false,
       0,
       0},
      {"a node that leaves is not waited for",
       {{"node-1", "ank-a", kAlive, 7, 0}, {"node-2", "ank-b", MemberState::kLeaving, 6, 10}},
       true,
       0,
       0},
      {"nothing runs yet", {{"node-1", "ank-a", kAlive, 0, 0}}, false, 0, 0},
  };
  for (const auto& test : cases) {
    const auto report = ReportOf(StatusOf(test.fleet));
    EXPECT_EQ(report.settled, test.settled) << test.name;
    EXPECT_EQ(report.laggards.size(), test.laggards) << test.name;
    EXPECT_EQ(report.cut_off_zones.size(), test.cut_off_zones) << test.name;
  }
}

TEST(FleetReportTest, WaitsForTheWantedRevisionUnlessItIsRefused) {
  auto status = StatusOf({{"node-1", "ank-a", kAlive, 7, 0}});
  const auto report_for = [&](std::uint64_t wanted) {
    return Resolve([&] { return ReadFleetReport(StatusToJson(status), wanted); }).value();
  };
  EXPECT_TRUE(report_for(7).settled);
  EXPECT_FALSE(report_for(8).settled);
  EXPECT_FALSE(report_for(8).WantedIsRefused());
  status.last_refused = LedgerEntry{};
  status.last_refused->offer.version.major = 8;
  EXPECT_TRUE(report_for(8).WantedIsRefused());
  EXPECT_FALSE(report_for(9).WantedIsRefused());
  EXPECT_FALSE(report_for(7).WantedIsRefused());
}

TEST(FleetReportTest, OneThousandNodesFitOneScreen) {
  std::vector<FleetEntry> fleet;
  for (int index = 0; index < 1000; ++index) {
    const auto state = index % 3 == 0 ? MemberState::kDead : kAlive;
    const auto zone = "zone-" + std::to_string(index % 5);
    fleet.push_back({"node-" + std::to_string(index), zone, state, index < 5 ? 8U : 7U, 10});
  }
  const std::string text = ToText(ReportOf(StatusOf(fleet)));
  EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 50) << text;
  for (int zone = 0; zone < 5; ++zone) {
    EXPECT_NE(text.find("\n  zone-" + std::to_string(zone) + ": "), std::string::npos) << text;
  }
}

TEST(FleetReportTest, TellsWhatAnotherNodeRefused) {
  auto status = StatusOf({{"node-1", "ank-a", kAlive, 7, 0}});
  RefusedVersion refused;
  refused.version.major = 8;
  refused.node = "node-2";
  refused.explanation = "row 3, column 4: weights_sum";
  status.fleet_refused = refused;
  const auto report = Resolve([&] { return ReadFleetReport(StatusToJson(status), 8); }).value();
  ASSERT_EQ(report.notes.size(), 1U);
  EXPECT_EQ(report.notes[0], "revision 8 refused by node-2: row 3, column 4: weights_sum");
  EXPECT_TRUE(report.WantedIsRefused());
}

TEST(FleetReportTest, PassesOnWhyAVersionIsNotRun) {
  auto status = StatusOf({{"node-1", "ank-a", kAlive, 7, 0}});
  LedgerEntry refused;
  refused.verdict = VersionVerdict::kRefusedFaulty;
  refused.explanation = "row 3, column 4: weights_sum";
  status.last_refused = refused;
  const auto report = ReportOf(status);
  ASSERT_EQ(report.notes.size(), 1U);
  EXPECT_EQ(report.notes[0], "last_refused: row 3, column 4: weights_sum");
}

TEST(FleetReportTest, RefusesWhatIsNoStatus) {
  for (const char* text : {"", "{", "[]", "{}", "{\"id\": 7}", "null"}) {
    EXPECT_FALSE(Resolve([&] { return ReadFleetReport(text); }).ok()) << text;
  }
}

}  // namespace
}  // namespace copperlead
