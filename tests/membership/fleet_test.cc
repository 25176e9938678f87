// Tests Membership objects on a virtual network: joining, failure detection, false positives,
// partitions and pauses.
#include <gtest/gtest.h>

#include "tests/membership/virtual_network.h"

namespace copperlead {
namespace {

using std::chrono::seconds;

double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

TEST(FleetTest, SimultaneousStartConvergesAndTheIdleFleetSendsOnePingPerInterval) {
  VirtualNetwork fleet({}, {});
  fleet.StartFleet(100, 5);
  const auto took =
      fleet.RunUntil([&] { return fleet.AllAlive(100) && fleet.HashesAgree(); }, seconds(60));
  EXPECT_LT(took, seconds(60));
  RecordProperty("join_ms", static_cast<int>(took.count() / 1000));
  fleet.RunFor(seconds(60));
  fleet.ResetCounters();
  fleet.RunFor(seconds(60));
  const double per_interval = static_cast<double>(fleet.messages_sent()) / (100 * 60);
  EXPECT_GT(per_interval, 1.9);
  EXPECT_LT(per_interval, 2.2);
}

struct DetectionCase {
  std::size_t nodes;
  seconds limit;
};

class DetectionTest : public ::testing::TestWithParam<DetectionCase> {};

TEST_P(DetectionTest, CrashedMemberIsDeadEverywhere) {
  VirtualNetwork fleet({}, {});
  fleet.StartSeededFleet(GetParam().nodes, 5);
  fleet.RunFor(seconds(20));
  fleet.Crash(3);
  const auto first =
      fleet.RunUntil([&] { return fleet.StateAt(0, 3) == MemberState::kDead; }, GetParam().limit);
  const auto rest = fleet.RunUntil([&] { return fleet.DeadEverywhere(3); }, GetParam().limit);
  std::printf("%zu nodes: dead at one node after %.1f s, at all after %.1f s\n", GetParam().nodes,
              ToSeconds(first), ToSeconds(first + rest));
  EXPECT_LT(first + rest, GetParam().limit);
  EXPECT_EQ(fleet.FalseDeaths(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Sizes, DetectionTest,
                         ::testing::Values(DetectionCase{10, seconds(12)},
                                           DetectionCase{100, seconds(16)},
                                           DetectionCase{1000, seconds(24)}));

TEST(FleetTest, LossDuplicationAndReorderingCauseNoFalseDeaths) {
  VirtualNetwork fleet({}, {.loss = 0.01, .duplication = 0.02, .max_delay = Milliseconds(50)});
  fleet.StartFleet(100, 5);
  fleet.RunFor(seconds(60));
  std::size_t false_deaths = 0;
  for (int second = 0; second < 600; ++second) {
    fleet.RunFor(seconds(1));
    false_deaths += fleet.FalseDeaths();
  }
  EXPECT_EQ(false_deaths, 0u);
}

TEST(FleetTest, ZonePartitionSeparatesAndHealingEndsWithAllAlive) {
  VirtualNetwork fleet({}, {});
  fleet.StartFleet(50, 5);
  fleet.RunFor(seconds(30));
  fleet.SetPartition(
      [](std::size_t from, std::size_t to) { return (from % 5 == 0) != (to % 5 == 0); });
  const auto separated = fleet.RunUntil(
      [&] { return fleet.at(0).LiveCount() == 10 && fleet.at(1).LiveCount() == 40; }, seconds(90));
  EXPECT_LT(separated, seconds(90));
  fleet.RunFor(seconds(30));
  fleet.SetPartition(nullptr);
  const auto healed =
      fleet.RunUntil([&] { return fleet.AllAlive(50) && fleet.HashesAgree(); }, seconds(90));
  EXPECT_LT(healed, seconds(90));
  std::printf("partition detected after %.1f s, healed after %.1f s\n", ToSeconds(separated),
              ToSeconds(healed));
}

TEST(FleetTest, PausedNodeIsDeadAndResumesWithoutFalseDeaths) {
  VirtualNetwork fleet({}, {});
  fleet.StartFleet(30, 3);
  fleet.RunFor(seconds(30));
  fleet.Pause(7);
  fleet.RunFor(seconds(30));
  EXPECT_EQ(fleet.StateAt(0, 7), MemberState::kDead);
  fleet.Resume(7);
  std::size_t deaths_seen_by_resumed = 0;
  for (int step = 0; step < 200; ++step) {
    fleet.RunFor(Milliseconds(100));
    for (std::size_t subject = 0; subject < 30; ++subject) {
      if (subject != 7 && fleet.StateAt(7, subject) == MemberState::kDead) ++deaths_seen_by_resumed;
    }
  }
  EXPECT_EQ(deaths_seen_by_resumed, 0u);
  EXPECT_TRUE(fleet.AllAlive(30));
}

struct OneWayCase {
  const char* name;
  bool can_send;
  bool can_receive;
};

class OneWayTest : public ::testing::TestWithParam<OneWayCase> {};

// A node whose messages are dropped in one or both directions is declared dead by the others. It
// must not cause false deaths or repeated refutations of other nodes.
TEST_P(OneWayTest, CausesNoFalseDeathsAndTheFleetRecovers) {
  constexpr std::size_t kIsolated = 7;
  constexpr std::size_t kNodes = 50;
  VirtualNetwork fleet({}, {});
  fleet.StartFleet(kNodes, 5);
  fleet.RunFor(seconds(40));
  const auto incarnations = fleet.IncarnationSum() - fleet.at(kIsolated).self().incarnation;
  fleet.SetPartition([](std::size_t from, std::size_t to) {
    if (from == kIsolated) return !GetParam().can_send;
    return to == kIsolated && !GetParam().can_receive;
  });
  const auto noticed = fleet.RunUntil([&] { return fleet.DeadEverywhere(kIsolated); }, seconds(60));
  EXPECT_LT(noticed, seconds(60));
  std::size_t false_deaths = 0;
  std::size_t revivals = 0;
  for (int second = 0; second < 300; ++second) {
    fleet.RunFor(seconds(1));
    false_deaths += fleet.FalseDeaths(kIsolated);
    if (!fleet.DeadEverywhere(kIsolated)) ++revivals;
  }
  const auto refutations =
      fleet.IncarnationSum() - fleet.at(kIsolated).self().incarnation - incarnations;
  std::printf("%s: dead everywhere after %.1f s; refutations of others %u, false deaths %zu\n",
              GetParam().name, ToSeconds(noticed), refutations, false_deaths);
  EXPECT_EQ(false_deaths, 0u);
  EXPECT_EQ(revivals, 0u);
  EXPECT_LE(refutations, 8u);
  fleet.SetPartition(nullptr);
  EXPECT_LT(
      fleet.RunUntil([&] { return fleet.AllAlive(kNodes) && fleet.HashesAgree(); }, seconds(90)),
      seconds(90));
  const auto after = fleet.IncarnationSum() - fleet.at(kIsolated).self().incarnation - incarnations;
  EXPECT_LE(after, 8u);
}

INSTANTIATE_TEST_SUITE_P(Directions, OneWayTest,
                         ::testing::Values(OneWayCase{"sends only", true, false},
                                           OneWayCase{"receives only", false, true},
                                           OneWayCase{"cut off", false, false}));

TEST(FleetTest, SimultaneousRestartKeepsVersionsThatSurvivorsRemember) {
  VirtualNetwork fleet({}, {.loss = 0.01});
  fleet.StartFleet(60, 5);
  for (std::size_t index = 0; index < 60; ++index) {
    fleet.at(index).SetVersions({index % 2 == 0 ? 9u : 5u, 0, 1}, {});
  }
  fleet.RunFor(seconds(120));
  for (std::size_t index = 0; index < 60; index += 2) fleet.Crash(index);
  fleet.RunFor(seconds(60));
  for (std::size_t index = 0; index < 60; index += 2) fleet.Start(index, 2);
  fleet.RunFor(seconds(10));
  for (std::size_t index = 0; index < 60; index += 2) {
    EXPECT_TRUE(fleet.at(index).FleetAnswered()) << index;
    EXPECT_EQ(fleet.at(index).HighestVersionReceived().major, 9u) << index;
  }
  EXPECT_LT(fleet.RunUntil([&] { return fleet.AllAlive(60) && fleet.HashesAgree(); }, seconds(90)),
            seconds(90));
}

TEST(FleetTest, ViewsAgreeAfterChurnWithLoss) {
  VirtualNetwork fleet({}, {.loss = 0.01, .duplication = 0.01, .seed = 3});
  fleet.StartFleet(60, 5);
  std::uint32_t incarnation = 2;
  for (std::size_t round = 0; round < 60; ++round) {
    const std::size_t victim = round * 7 % 60;
    if (fleet.running(victim)) fleet.Crash(victim);
    fleet.RunFor(seconds(round % 9));
    fleet.Start(victim, incarnation++);
  }
  EXPECT_LT(fleet.RunUntil([&] { return fleet.AllAlive(60) && fleet.HashesAgree(); }, seconds(90)),
            seconds(90));
}

TEST(FleetTest, LeavingIsKnownEverywhereBeforeTheNodeStops) {
  VirtualNetwork fleet({}, {});
  fleet.StartFleet(50, 5);
  fleet.RunFor(seconds(40));
  fleet.Leave(4);
  fleet.RunFor(seconds(10));
  for (std::size_t index = 0; index < 50; ++index) {
    if (index == 4) continue;
    EXPECT_EQ(fleet.StateAt(index, 4), MemberState::kLeaving);
    EXPECT_EQ(fleet.at(index).Eligible().size(), 49u);
  }
  fleet.Crash(4);
  EXPECT_LT(fleet.RunUntil([&] { return fleet.DeadEverywhere(4); }, seconds(30)), seconds(30));
}

}  // namespace
}  // namespace copperlead
