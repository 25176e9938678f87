// Guarantees of the Agent, each tested on a small fleet in virtual time with faults.
#include "distribution/agent.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "distribution/reader_election.h"
#include "test_fleet.h"

namespace copperlead {
namespace {

using std::chrono::seconds;
using testing::IsEmpty;

AgentSettings Fast() { return AgentSettings{}; }

AgentSettings WithoutSource() {
  AgentSettings settings;
  settings.has_source = false;
  return settings;
}

std::string ReaderOf(TestFleet& fleet, const std::string& zone, std::size_t rank = kReaderRank) {
  const Membership& membership = fleet.nodes().begin()->second->agent->membership();
  const std::vector<MemberRecord> eligible = membership.EligibleInZone(zone);
  std::vector<const MemberRecord*> members;
  members.reserve(eligible.size());
  for (const MemberRecord& member : eligible) members.push_back(&member);
  return ElectReaders(zone, members, rank + 1).at(rank).id;
}

// A fleet of 30 nodes in 3 zones that runs revision 1.
class SettledFleet {
 public:
  explicit SettledFleet(std::uint64_t seed = 1, const AgentSettings& settings = Fast())
      : fleet(seed) {
    fleet.Publish({.revision = 1});
    fleet.Fill(3, 10, settings);
    EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(1); }, seconds(30)));
    fleet.RunFor(seconds(10));
    fleet.total_reads = 0;
  }
  ~SettledFleet() { EXPECT_THAT(fleet.violations, IsEmpty()); }

  TestFleet fleet;
};

TEST(AgentTest, ASingleNodeActivatesAfterTheWaitWithItsFloorUnverified) {
  TestFleet fleet(1);
  fleet.Publish({.revision = 7});
  const Agent& agent = *fleet.Add("zone-a", Fast()).agent;
  EXPECT_FALSE(fleet.RunUntil([&] { return agent.running() != nullptr; }, Milliseconds(2900)));
  EXPECT_TRUE(fleet.RunUntil([&] { return agent.ready(); }, seconds(2)));
  EXPECT_TRUE(agent.floor_unverified());
  EXPECT_EQ(agent.running()->revision, 7U);
}

TEST(AgentTest, ANodeWithoutSourceGetsTheBundleFromItsPeer) {
  for (const bool same_zone : {true, false}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      TestFleet fleet(seed);
      fleet.Publish({.revision = 7});
      fleet.Add("zone-a", seed % 2 == 0 ? Fast() : WithoutSource());
      fleet.Add(same_zone ? "zone-a" : "zone-b", seed % 2 == 0 ? WithoutSource() : Fast());
      EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(7); }, seconds(15)));
      fleet.Publish({.revision = 8, .new_weight = 10});
      EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(8); }, seconds(15)));
    }
  }
}

TEST(AgentTest, OneEditReachesAllNodesWithinThreeSecondsDespiteLoss) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  fleet.loss = 0.05;
  fleet.duplicates = 0.05;
  for (std::uint64_t revision = 2; revision <= 8; ++revision) {
    fleet.Publish({.revision = revision, .new_weight = static_cast<int>(revision)});
    EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(revision); }, seconds(3))) << revision;
  }
}

TEST(AgentTest, FewNodesReadTheSourceHoweverMany) {
  for (const std::size_t nodes_per_zone : {2U, 10U, 25U}) {
    TestFleet fleet(nodes_per_zone);
    fleet.Publish({.revision = 1});
    fleet.Fill(2, nodes_per_zone, Fast());
    EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(1); }, seconds(30)));
    EXPECT_LE(fleet.total_reads, 16U) << nodes_per_zone;
    fleet.RunFor(seconds(5));
    fleet.total_reads = 0;
    fleet.RunFor(seconds(60));
    // Two readers poll each second, and their standbys at a quarter and a sixteenth of that rate.
    EXPECT_LE(fleet.total_reads, 170U) << nodes_per_zone;
    EXPECT_GE(fleet.total_reads, 115U) << nodes_per_zone;
  }
}

TEST(AgentTest, AnEditAtTheDeathOfAZonesReaderStillReachesAll) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SettledFleet settled(seed);
    TestFleet& fleet = settled.fleet;
    const std::string reader = ReaderOf(fleet, "zone-b");
    ASSERT_TRUE(fleet.node(reader).agent->is_reader());
    fleet.Kill(reader);
    fleet.Publish({.revision = 2, .new_weight = 5});
    EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(5)));
  }
}

TEST(AgentTest, AVersionIsReadFromTheSourceOnceAndItsEtagIsForwarded) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  fleet.document_answers = 0;
  fleet.Publish({.revision = 2, .new_weight = 2});
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(5)));
  fleet.RunFor(seconds(20));  // Every reader and standby polls in this time.
  EXPECT_EQ(fleet.document_answers, 1U);
}

TEST(AgentTest, ASourceBackInTimeIsRefusedLoudlyOnce) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  fleet.Publish({.revision = 5, .new_weight = 5});
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(5); }, seconds(5)));
  EXPECT_EQ(fleet.CountReports(ErrorKind::kRevisionBehind), 0U);
  fleet.Publish({.revision = 3, .new_weight = 3});
  fleet.RunFor(seconds(10));
  EXPECT_TRUE(fleet.AllRun(5));
  const TestNode& reader = fleet.node(ReaderOf(fleet, "zone-a"));
  EXPECT_EQ(reader.agent->source().kind, SourceState::Kind::kBehind);
  EXPECT_EQ(reader.agent->source().behind_revision, 3U);
  EXPECT_GE(fleet.CountReports(ErrorKind::kRevisionBehind), 3U);
  fleet.Publish({.revision = 3, .new_weight = 3});  // This has another ETag but the same content.
  fleet.RunFor(seconds(10));
  for (const auto& [id, node] : fleet.nodes()) {
    EXPECT_LE(TestFleet::CountReports(*node, ErrorKind::kRevisionBehind), 1U) << id;
  }
  fleet.Publish({.revision = 6, .new_weight = 3});
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(6); }, seconds(5)));
  fleet.RunFor(seconds(2));  // The readers themselves poll again in this time.
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    const SourceState& source = fleet.node(ReaderOf(fleet, zone)).agent->source();
    EXPECT_EQ(source.kind, SourceState::Kind::kHealthy) << zone;
    EXPECT_EQ(source.behind_revision, 0U) << zone;
  }
}

TEST(AgentTest, AConflictIsReportedAndAHigherRevisionEndsIt) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  const auto side = [](const std::string& id) { return id.substr(0, 6) == "zone-a"; };
  fleet.link = [&](const std::string& from, const std::string& to) {
    return side(from) == side(to);
  };
  fleet.Publish({.revision = 2, .new_weight = 10});
  const auto side_runs = [&](bool left) {
    for (const auto& [id, node] : fleet.nodes()) {
      if (side(id) == left && node->agent->running()->revision != 2) return false;
    }
    return true;
  };
  for (const auto& [id, node] : fleet.nodes()) {
    if (!side(id)) fleet.without_source.insert(id);
  }
  ASSERT_TRUE(fleet.RunUntil([&] { return side_runs(true); }, seconds(5)));
  fleet.without_source.clear();
  fleet.Publish({.revision = 2, .new_weight = 20});
  ASSERT_TRUE(fleet.RunUntil([&] { return side_runs(false); }, seconds(40)));
  fleet.link = [](const auto&, const auto&) { return true; };
  std::size_t pulls = 0;
  fleet.on_send = [&](const TestNode&, const SocketAddress&, const Message& message) {
    pulls += std::holds_alternative<Pull>(message.body) ? 1 : 0;
  };
  fleet.RunFor(seconds(30));
  EXPECT_GE(fleet.CountReports(ErrorKind::kRevisionConflict), 1U);
  EXPECT_LE(pulls, fleet.nodes().size());  // Each node pulls at most once, not repeatedly.
  for (const auto& [id, node] : fleet.nodes()) {
    EXPECT_EQ(node->agent->running()->table.rows[0].new_weight, side(id) ? 10U : 20U) << id;
  }
  fleet.Publish({.revision = 3, .new_weight = 30});
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(3); }, seconds(5)));
  for (const auto& [id, node] : fleet.nodes()) {
    EXPECT_FALSE(node->agent->ledger().conflict().has_value()) << id;
  }
}

TEST(AgentTest, AnIncompleteTableWaitsAndAFaultyOneIsRefusedNamingItsPlace) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  // The source loses the secret. It is kept because the running table still names it.
  fleet.Publish({.revision = 2, .new_weight = 5, .secret = ""});
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(5)));
  fleet.Publish({.revision = 3, .new_weight = 6, .faulty = true});
  fleet.RunFor(seconds(5));
  EXPECT_TRUE(fleet.AllRun(2));
  const TestNode& reader = fleet.node(ReaderOf(fleet, "zone-a"));
  EXPECT_THAT(reader.reports.back().text, testing::HasSubstr("row 2"));

  TestFleet fresh(2);
  fresh.Publish({.revision = 7, .secret = ""});
  fresh.Fill(2, 2, Fast());
  fresh.RunFor(seconds(20));
  std::size_t waiting = 0;
  for (const auto& [id, node] : fresh.nodes()) {
    EXPECT_EQ(node->agent->running(), nullptr);
    waiting += node->agent->ledger().waiting().has_value() ? 1 : 0;
  }
  EXPECT_GE(waiting, 1U);
  EXPECT_GE(fresh.CountReports(ErrorKind::kIncomplete), 1U);
  fresh.Publish({.revision = 7});
  EXPECT_TRUE(fresh.RunUntil([&] { return fresh.AllRun(7); }, seconds(10)));
  EXPECT_THAT(fresh.violations, IsEmpty());
}

TEST(AgentTest, ChangedSecretsRaiseTheEpochOnceForTheWholeFleet) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  fleet.Publish({.revision = 1, .secret = "second"});
  const auto all_have = [&] {
    for (const auto& [id, node] : fleet.nodes()) {
      if (node->agent->running()->secrets.at("permit-token") != "second") return false;
    }
    return true;
  };
  EXPECT_TRUE(fleet.RunUntil(all_have, seconds(5)));
  fleet.RunFor(seconds(20));
  for (const auto& [id, node] : fleet.nodes()) {
    EXPECT_EQ(node->agent->running()->resource_epoch, 1U) << id;
  }
}

TEST(AgentTest, TheSourceSendsEachEditOnceToASettledFleet) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  constexpr std::uint64_t kEdits = 5;
  fleet.total_documents = 0;
  for (std::uint64_t edit = 1; edit <= kEdits; ++edit) {
    fleet.Publish({.revision = 1 + edit, .new_weight = static_cast<int>(edit)});
    fleet.RunFor(seconds(70));  // This is longer than the interval of the slowest standby.
    EXPECT_TRUE(fleet.AllRun(1 + edit));
    EXPECT_EQ(fleet.total_documents, 2 * edit - 1) << "configuration " << edit;
    fleet.PublishMachines(10 + edit);
    fleet.RunFor(seconds(70));
    EXPECT_EQ(fleet.total_documents, 2 * edit) << "machine list " << edit;
  }
}

// The reader of zone-b knows the changed secret only from a push and a 304. That must count as
// having seen the change: when this reader alone sees the source revert it, it has to push the
// reverted document.
TEST(AgentTest, AChangeTakenBackIsSeenByAReaderThatNeverReadTheChange) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  const auto all_have = [&](const std::string& secret) {
    return std::all_of(fleet.nodes().begin(), fleet.nodes().end(), [&](const auto& entry) {
      return entry.second->agent->running()->secrets.at("permit-token") == secret;
    });
  };
  const auto block_source = [&](bool in_zone_b) {
    fleet.without_source.clear();
    for (const auto& [id, node] : fleet.nodes()) {
      if ((node->zone == "zone-b") == in_zone_b) fleet.without_source.insert(id);
    }
  };
  fleet.Publish({.revision = 1, .secret = "first"});  // Zone-b reads this itself.
  fleet.RunFor(seconds(70));
  block_source(true);
  fleet.Publish({.revision = 1, .secret = "second"});
  ASSERT_TRUE(fleet.RunUntil([&] { return all_have("second"); }, seconds(60)));
  block_source(false);
  fleet.RunFor(seconds(70));
  fleet.Publish({.revision = 1, .secret = "first"});
  EXPECT_TRUE(fleet.RunUntil([&] { return all_have("first"); }, seconds(70)));
}

// Sets up a fleet that runs revision 5 while the source was rolled back to 4, and restarts one
// node. Peers answer its join, but no document reaches it. @return the id of the restarted node.
std::string RestartBelowFloor(TestFleet& fleet) {
  fleet.Publish({.revision = 5, .new_weight = 5});
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(5); }, seconds(5)));
  fleet.RunFor(seconds(5));
  std::string id = ReaderOf(fleet, "zone-a");
  fleet.Publish({.revision = 4, .new_weight = 4});
  fleet.filter = [id](const std::string& from, const std::string& to, const Message& message) {
    const bool joins = std::holds_alternative<JoinRequest>(message.body) ||
                       std::holds_alternative<JoinReply>(message.body);
    return joins || (from != id && to != id);
  };
  fleet.Restart(id);
  fleet.RunFor(seconds(60));
  return id;
}

TEST(AgentTest, ReadersOfDifferentCachesDoNotRaiseTheEpochForever) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  fleet.Publish({.revision = 1, .secret = "fresh"});
  fleet.stale_zones["zone-b"] = MakeDocument({.revision = 1, .secret = "stale"});
  fleet.RunFor(seconds(60));
  const std::uint32_t epoch = fleet.nodes().begin()->second->agent->running()->resource_epoch;
  // Each node that reads raises the epoch at most once, and four ranks of three zones read.
  const auto readers =
      std::count_if(fleet.nodes().begin(), fleet.nodes().end(),
                    [](const auto& entry) { return entry.second->agent->source().reads > 0; });
  EXPECT_LE(readers, 3 * 4);
  EXPECT_LE(epoch, static_cast<std::uint32_t>(readers));
  fleet.RunFor(seconds(120));
  const BundlePointer settled_on = fleet.nodes().begin()->second->agent->running();
  fleet.RunFor(seconds(120));
  for (const auto& [id, node] : fleet.nodes()) {
    EXPECT_EQ(node->agent->running()->version, settled_on->version) << id;
  }
  fleet.stale_zones.clear();
  fleet.Publish({.revision = 1, .secret = "newest"});
  fleet.RunFor(seconds(10));
  for (const auto& [id, node] : fleet.nodes()) {
    EXPECT_EQ(node->agent->running()->secrets.at("permit-token"), "newest") << id;
  }
}

TEST(AgentTest, AnIsolatedNodeFindsItsPeersInTheMachineListBeforeItActivates) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  fleet.Publish({.revision = 5, .new_weight = 5});
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(5); }, seconds(5)));
  fleet.Publish({.revision = 4, .new_weight = 4});
  fleet.PublishMachines(31);
  fleet.RunFor(seconds(5));
  TestNode& newcomer = fleet.Add("zone-d", Fast(), {});
  EXPECT_TRUE(fleet.RunUntil([&] { return newcomer.agent->ready(); }, seconds(30)));
  EXPECT_EQ(newcomer.activations.front()->revision, 5U);
  EXPECT_FALSE(newcomer.agent->floor_unverified());

  fleet.PublishMachines(30);  // A lower sequence is ignored and reported once.
  fleet.RunFor(seconds(10));
  for (const auto& [id, node] : fleet.nodes()) {
    ASSERT_NE(node->agent->machines(), nullptr) << id;
    EXPECT_EQ(node->agent->machines()->sequence, 31U) << id;
  }
}

TEST(AgentTest, ARestartedNodeRefusesWhatLiesBelowItsFloor) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  const std::string id = RestartBelowFloor(fleet);
  const Agent& agent = *fleet.node(id).agent;
  EXPECT_EQ(agent.ledger().floor().major, 5U);
  EXPECT_FALSE(agent.ready());
  EXPECT_FALSE(agent.floor_unverified());
  ASSERT_FALSE(agent.ledger().entries().empty());
  EXPECT_EQ(agent.ledger().entries().back().verdict, VersionVerdict::kRefusedFloor);
  fleet.filter = nullptr;
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(5); }, seconds(60)));
}

// Breaks one rule at a time and requires that the checks of these tests detect it.
TEST(AgentTest, EachBrokenRuleIsDetectedByTheseChecks) {
  AgentSettings broken = Fast();
  broken.faults.ignore_floor = true;
  SettledFleet without_floor(1, broken);
  const std::string id = RestartBelowFloor(without_floor.fleet);
  EXPECT_TRUE(without_floor.fleet.node(id).agent->ready());

  const auto violations_with = [](bool LedgerFaults::*rule, const std::vector<TestEdit>& edits) {
    AgentSettings settings = Fast();
    settings.faults.*rule = true;
    TestFleet fleet(1);
    fleet.Fill(2, 2, settings);
    for (const TestEdit& edit : edits) {
      fleet.Publish(edit);
      fleet.RunFor(seconds(20));
    }
    return fleet.violations.size();
  };
  EXPECT_GE(violations_with(&LedgerFaults::accept_older, {{.revision = 5}, {.revision = 4}}), 1U);
  EXPECT_GE(violations_with(&LedgerFaults::replace_on_conflict,
                            {{.revision = 5}, {.revision = 5, .new_weight = 9}}),
            1U);
  EXPECT_GE(violations_with(&LedgerFaults::accept_incomplete, {{.revision = 5, .secret = ""}}), 1U);
  EXPECT_GE(violations_with(&LedgerFaults::accept_faulty, {{.revision = 5, .faulty = true}}), 1U);
}

TEST(AgentTest, LateRepeatedAndReorderedPushesNeverLowerAVersion) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  std::vector<std::pair<SocketAddress, std::shared_ptr<const Message>>> pushes;
  fleet.on_send = [&](const TestNode& from, const SocketAddress&, const Message& message) {
    const bool push = std::holds_alternative<Push>(message.body);
    if (push) pushes.emplace_back(from.address, std::make_shared<Message>(message));
  };
  fleet.max_delay = seconds(2);
  for (std::uint64_t revision = 2; revision <= 6; ++revision) {
    fleet.Publish({.revision = revision, .new_weight = static_cast<int>(revision)});
    fleet.RunFor(Milliseconds(1500));
  }
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(6); }, seconds(30)));
  fleet.on_send = nullptr;
  ASSERT_FALSE(pushes.empty());
  for (const auto& [from, message] : pushes) {
    for (auto& [id, node] : fleet.nodes()) fleet.Deliver(id, MessageReceived{from, message});
  }
  fleet.RunFor(seconds(10));
  EXPECT_TRUE(fleet.AllRun(6));
}

TEST(AgentTest, ASlowFleetIsNotSentEverMorePushes) {
  AgentSettings deep_tree = Fast();
  deep_tree.fan_out = 1;
  SettledFleet settled(1, deep_tree);
  TestFleet& fleet = settled.fleet;
  std::size_t pushes = 0;
  fleet.on_send = [&](const TestNode&, const SocketAddress&, const Message& message) {
    if (std::holds_alternative<Push>(message.body)) ++pushes;
  };
  fleet.max_delay = seconds(3);  // Every acknowledgement is late.
  fleet.Publish({.revision = 2, .new_weight = 2});
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(60)));
  // A member gets two attempts from its parent, two from its grandparent, and what repair sends.
  RecordProperty("pushes", static_cast<int>(pushes));
  EXPECT_LE(pushes, 6 * fleet.nodes().size());
}

TEST(AgentTest, BusyPeersSpreadTheTransfersOfManyJoiningNodes) {
  AgentSettings settings = Fast();
  settings.whole_transfers_per_second = 1;
  SettledFleet settled(3, settings);
  TestFleet& fleet = settled.fleet;
  std::size_t busy = 0;
  fleet.on_send = [&](const TestNode&, const SocketAddress&, const Message& message) {
    busy += std::holds_alternative<Busy>(message.body) ? 1 : 0;
  };
  const std::string survivor = fleet.nodes().begin()->first;
  for (auto& [id, node] : fleet.nodes()) {
    if (id != survivor) fleet.Restart(id);
  }
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(1); }, seconds(40)));
  EXPECT_GE(busy, 1U);
}

TEST(AgentTest, APausedReaderHasNoRoleAndTakesNothingWhileItWaitsForPeers) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  const std::string id = ReaderOf(fleet, "zone-a");
  const Agent& agent = *fleet.node(id).agent;
  fleet.Publish({.revision = 2, .new_weight = 2});
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(5)));
  fleet.Pause(id);
  fleet.RunFor(seconds(60));
  fleet.Publish({.revision = 3, .new_weight = 3});
  fleet.RunFor(seconds(5));
  fleet.link = [&](const std::string& from, const std::string& to) {
    return from != id && to != id;
  };
  const std::uint64_t reads = fleet.node(id).source_reads;
  fleet.Resume(id);
  EXPECT_TRUE(agent.ledger().joining());
  EXPECT_FALSE(agent.is_reader());
  EXPECT_TRUE(agent.ready());
  fleet.RunFor(seconds(2));
  EXPECT_EQ(fleet.node(id).source_reads, reads);
  EXPECT_EQ(agent.running()->revision, 2U);
  fleet.link = [](const auto&, const auto&) { return true; };
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(3); }, seconds(20)));
  EXPECT_FALSE(agent.ledger().joining());
}

TEST(AgentTest, ALeavingReaderIsReplacedByItsStandby) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  const std::string id = ReaderOf(fleet, "zone-a");
  const std::string standby = ReaderOf(fleet, "zone-a", kStandbyRank);
  fleet.Deliver(id, StopRequested{});
  EXPECT_FALSE(fleet.node(id).agent->is_reader());
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.node(standby).agent->is_reader(); }, seconds(3)));
  fleet.Kill(id);
  fleet.Publish({.revision = 2, .new_weight = 2});
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(3)));
}

TEST(AgentTest, ReadersBackOffDuringAnOutageAndReturnWithoutAStorm) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  fleet.source_down = true;
  fleet.RunFor(seconds(300));
  EXPECT_LE(fleet.total_reads, 300U);  // Ten nodes may read; without backoff 1,200 reads or more.
  fleet.source_down = false;
  fleet.total_reads = 0;
  fleet.Publish({.revision = 2, .new_weight = 2});
  EXPECT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(30)));
  EXPECT_LE(fleet.total_reads, 20U);
}

TEST(AgentTest, StatusAsksOnlyMembersThatMayLag) {
  SettledFleet settled;
  TestFleet& fleet = settled.fleet;
  const std::string id = fleet.nodes().begin()->first;
  std::size_t queries = 0;
  fleet.on_send = [&](const TestNode&, const SocketAddress&, const Message& message) {
    queries += std::holds_alternative<StatusQuery>(message.body) ? 1 : 0;
  };
  fleet.RunFor(seconds(30));
  fleet.Deliver(id, StatusRequested{});
  EXPECT_EQ(queries, 0U);
  fleet.Publish({.revision = 2, .new_weight = 2});
  ASSERT_TRUE(fleet.RunUntil([&] { return fleet.AllRun(2); }, seconds(3)));
  fleet.Deliver(id, StatusRequested{});
  EXPECT_GE(queries, 1U);
  fleet.RunFor(seconds(1));
  queries = 0;
  fleet.Deliver(id, StatusRequested{});
  EXPECT_EQ(queries, 0U);
}

}  // namespace
}  // namespace copperlead
