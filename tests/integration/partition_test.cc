// A zone cut off from the others by the fault proxies before every node's peer address.

#include <algorithm>

#include "process_harness.h"

namespace copperlead::standin {
namespace {

constexpr char kCutZone[] = "ank-c";

// Two nodes in each of three zones. Zones ank-a and ank-c read the source, each through a fault
// proxy of its own.
class PartitionTest : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet_ = new LocalFleet(Binaries());
    fleet_->configuration().slots_by_service = {{"permit-desk", 6}};
    fleet_->configuration().routes = {Row("permit-desk", "/permits")};
    near_source_ = new StandinProcess(SourceProxy("near-source"));
    far_source_ = new StandinProcess(SourceProxy("far-source"));
    for (const char* zone : {"ank-a", "ank-b", kCutZone}) {
      for (const char* number : {"-1", "-2"}) {
        auto& plan = fleet_->AddNode(zone + std::string(number), zone, false, true).plan;
        plan.arguments = PollEvery(200);
        if (zone == std::string("ank-a")) plan.source = near_source_->listen;
        if (zone == std::string(kCutZone)) plan.source = far_source_->listen;
      }
    }
    fleet_->StartSource();
    fleet_->StartNodes();
  }
  static void TearDownTestSuite() {
    delete fleet_;
    delete near_source_;
    delete far_source_;
  }
  static StandinProcess SourceProxy(const std::string& name) {
    return fleet_->workplace().StartStandin(
        name, {"fault-proxy", "--to", ToString(fleet_->source_address())});
  }

  void SetUp() override {
    Heal();
    ExpectAllRunTheLatest();
    ASSERT_TRUE(WaitFor([] { return fleet_->AllSeeEachOther(); }));
  }
  void TearDown() override {
    if (!HasFailure()) return;
    for (const auto& node : fleet_->nodes()) {
      ADD_FAILURE() << "log of " << node.plan.id << ":\n"
                    << fleet_->workplace().ReadLog(node.plan.id);
    }
  }

  static bool InCutZone(const LocalNode& node) { return node.plan.zone == kCutZone; }
  static void Heal() {
    HealNodes(*fleet_);
    SetFault(*near_source_, "none");
    SetFault(*far_source_, "none");
  }
  static void Edit() {
    auto& row = fleet_->configuration().routes[0];
    row.old_weight = (row.old_weight + 10) % 110;
    row.new_weight = 100 - row.old_weight;
    fleet_->PublishConfiguration();
  }
  static std::uint64_t Revision() { return fleet_->configuration().revision; }
  static void ExpectAllRunTheLatest() {
    ASSERT_TRUE(WaitFor([] { return fleet_->AllRun(Revision()); }));
  }
  // @return whether every node of the cut zone, or every other node, is ready at `revision`.
  static bool SideRuns(bool cut_zone, std::uint64_t revision) {
    return std::all_of(fleet_->nodes().begin(), fleet_->nodes().end(), [&](const auto& node) {
      if (InCutZone(node) != cut_zone) return true;
      const auto view = AskNode(node.plan.admin);
      return view && view->ready && view->revision == revision;
    });
  }
  // Waits until the nodes of the cut zone have given up the others.
  static void WaitUntilApart() {
    EXPECT_TRUE(WaitFor([] {
      return std::all_of(fleet_->nodes().begin(), fleet_->nodes().end(), [](const auto& node) {
        if (!InCutZone(node)) return true;
        const auto view = AskNode(node.plan.admin);
        return view && view->CountMembers("alive") == 2;
      });
    }));
  }

  static LocalFleet* fleet_;
  static StandinProcess* near_source_;
  static StandinProcess* far_source_;
};

LocalFleet* PartitionTest::fleet_ = nullptr;
StandinProcess* PartitionTest::near_source_ = nullptr;
StandinProcess* PartitionTest::far_source_ = nullptr;

TEST_F(PartitionTest, ZoneCutOffDuringAnEditKeepsServingAndFollowsWhenHealed) {
  const auto before = Revision();
  CutTowardsZone(*fleet_, kCutZone);
  CutFromZone(*fleet_, kCutZone);
  SetFault(*far_source_, "cut");
  Edit();
  EXPECT_TRUE(WaitFor([] { return SideRuns(false, Revision()); }));
  WaitUntilApart();
  EXPECT_TRUE(SideRuns(true, before));
  Heal();
  ExpectAllRunTheLatest();
  EXPECT_TRUE(WaitFor([] { return fleet_->AllSeeEachOther(); }));
}

TEST_F(PartitionTest, ZoneThatAloneReachesTheSourceIsFollowedWhenHealed) {
  const auto before = Revision();
  CutTowardsZone(*fleet_, kCutZone);
  CutFromZone(*fleet_, kCutZone);
  SetFault(*near_source_, "cut");
  Edit();
  EXPECT_TRUE(WaitFor([] { return SideRuns(true, Revision()); }));
  EXPECT_TRUE(SideRuns(false, before));
  Heal();
  ExpectAllRunTheLatest();
}

TEST_F(PartitionTest, OneWayCutNeverTurnsANodeBack) {
  for (const bool towards : {true, false}) {
    const auto before = Revision();
    if (towards) {
      CutTowardsZone(*fleet_, kCutZone);
    } else {
      CutFromZone(*fleet_, kCutZone);
    }
    SetFault(*far_source_, "cut");
    Edit();
    EXPECT_TRUE(WaitFor([] { return SideRuns(false, Revision()); }));
    if (towards) {
      EXPECT_TRUE(SideRuns(true, before));
    }
    Heal();
    ExpectAllRunTheLatest();
  }
}

}  // namespace
}  // namespace copperlead::standin
