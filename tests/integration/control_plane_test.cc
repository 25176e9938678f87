// Configuration reaching a fleet of real nodes while processes and the source fail.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

#include "process_harness.h"

namespace copperlead::standin {
namespace {

constexpr const char* kZones[] = {"ank-a", "ank-b", "ank-c"};
constexpr auto kOutage = std::chrono::seconds(1);
// Twice what two settled readers make: two documents each, every 200 ms.
constexpr int kHerdReadsPerSecond = 40;

// One fleet for all tests: two nodes in each of three zones; the first zone reads the source with
// both nodes, the second with one. Each test starts from a settled fleet.
class ControlPlaneTest : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    fleet_ = new LocalFleet(Binaries());
    fleet_->configuration().slots_by_service = {{"permit-desk", 6}};
    fleet_->configuration().secrets = {{"permit-token", "cGVybWl0LXRva2Vu"}};
    fleet_->configuration().routes = {Row("permit-desk", "/permits"),
                                      Row("permit-desk", "/licences")};
    for (const char* zone : kZones) {
      AddNode(std::string(zone) + "-1", zone, zone != kZones[2]);
      AddNode(std::string(zone) + "-2", zone, zone == kZones[0]);
    }
    fleet_->StartSource();
  }
  static void TearDownTestSuite() {
    delete fleet_;
    fleet_ = nullptr;
  }
  static void AddNode(const std::string& id, const std::string& zone, bool reads_source) {
    fleet_->AddNode(id, zone, reads_source).plan.arguments = PollEvery(200);
  }

  void SetUp() override {
    SetSourceMode(*fleet_, "up");
    fleet_->StartNodes();
    ASSERT_TRUE(WaitFor([] { return fleet_->AllRun(Revision()); }));
    ASSERT_TRUE(WaitFor([] { return fleet_->AllSeeEachOther(); }));
  }
  void TearDown() override {
    if (!HasFailure()) return;
    for (const auto& node : fleet_->nodes()) {
      ADD_FAILURE() << "log of " << node.plan.id << ":\n"
                    << fleet_->workplace().ReadLog(node.plan.id);
    }
  }

  static std::uint64_t Revision() { return fleet_->configuration().revision; }
  // Moves ten percent of one route to the other site.
  static void Edit() {
    auto& row = fleet_->configuration().routes[0];
    row.old_weight = (row.old_weight + 10) % 110;
    row.new_weight = 100 - row.old_weight;
    fleet_->PublishConfiguration();
  }
  static void ExpectAllRunTheLatest() {
    EXPECT_TRUE(WaitFor([] { return fleet_->AllRun(Revision()); }));
  }
  static std::vector<LocalNode*> Readers() {
    std::vector<LocalNode*> readers;
    for (auto& node : fleet_->nodes()) {
      if (node.process == nullptr) continue;
      const auto view = AskNode(node.plan.admin);
      if (view && view->reader) readers.push_back(&node);
    }
    return readers;
  }
  static nlohmann::json SourceCounters() {
    return nlohmann::json::parse(Get(fleet_->source().control, "/control/counters").body);
  }
  // Asks all nodes again and again for `span`; none may show another revision than `revision`.
  static void ExpectNoneLeaves(std::uint64_t revision, std::chrono::milliseconds span) {
    const auto until = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < until) {
      for (const auto& node : fleet_->nodes()) {
        if (node.process == nullptr) continue;
        const auto view = AskNode(node.plan.admin);
        if (!view || view->revision == 0) continue;
        ASSERT_EQ(view->revision, revision) << node.plan.id;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  static bool AnyNode(const std::function<bool(const NodeView&)>& matches) {
    return std::any_of(fleet_->nodes().begin(), fleet_->nodes().end(), [&](const auto& node) {
      const auto view = AskNode(node.plan.admin);
      return view && matches(*view);
    });
  }

  static LocalFleet* fleet_;
};

LocalFleet* ControlPlaneTest::fleet_ = nullptr;

TEST_F(ControlPlaneTest, OneEditReachesAllThroughOneReaderPerZone) {
  EXPECT_TRUE(WaitFor([] { return Readers().size() == 2; }));
  Edit();
  ExpectAllRunTheLatest();
  EXPECT_EQ(Readers().size(), 2U);
}

TEST_F(ControlPlaneTest, EditsInABurstEndWithTheLast) {
  for (int edit = 0; edit < 20; ++edit) {
    Edit();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  ExpectAllRunTheLatest();
}

TEST_F(ControlPlaneTest, ReaderKilledDuringAnEdit) {
  ASSERT_TRUE(WaitFor([] { return Readers().size() == 2; }));
  LocalNode& reader = *Readers().front();
  Edit();
  Kill(reader);
  ExpectAllRunTheLatest();
  Edit();  // The dead reader's zone still hears of news.
  ExpectAllRunTheLatest();
}

TEST_F(ControlPlaneTest, SourceOutageAndReturn) {
  for (const char* mode : {"down", "hang", "garbage", "oversized"}) {
    const auto before = Revision();
    SetSourceMode(*fleet_, mode);
    Edit();
    ExpectNoneLeaves(before, kOutage);
    SetSourceMode(*fleet_, "up");
    ExpectAllRunTheLatest();
    ASSERT_FALSE(HasFailure()) << mode;
  }
}

TEST_F(ControlPlaneTest, SourceGoesBackInTime) {
  Edit();
  ExpectAllRunTheLatest();
  SetSourceMode(*fleet_, "back&versions=1");
  EXPECT_TRUE(WaitFor(
      [] { return AnyNode([](const NodeView& view) { return view.source_state == "behind"; }); }));
  // A node that returns now may read the old table, and must not run it.
  LocalNode& reader = fleet_->Node("ank-b-1");
  Kill(reader);
  fleet_->StartNodes();
  ExpectNoneLeaves(Revision(), kOutage);
  ExpectAllRunTheLatest();
  SetSourceMode(*fleet_, "up");
  Edit();
  ExpectAllRunTheLatest();
}

TEST_F(ControlPlaneTest, BadTableIsRefusedWithRowAndColumnAndTheOldOneRuns) {
  auto bad = fleet_->configuration();
  ++bad.revision;
  bad.routes[1].old_weight = 101;
  fleet_->PutConfiguration(ToJson(bad));
  std::string refusing;
  ASSERT_TRUE(WaitFor([&] {
    for (const auto& node : fleet_->nodes()) {
      const auto view = AskNode(node.plan.admin);
      if (view && view->refused_revision == bad.revision) refusing = node.plan.id;
    }
    return !refusing.empty();
  }));
  const std::string place = "row 3, column " + std::to_string(kOldWeightColumn);
  EXPECT_TRUE(WaitFor([&] {
    return fleet_->workplace().ReadLog(refusing).find(place) != std::string::npos;
  })) << fleet_->workplace().ReadLog(refusing);
  ExpectNoneLeaves(Revision(), std::chrono::milliseconds(500));
  ++fleet_->configuration().revision;  // The bad table's is taken.
  Edit();
  ExpectAllRunTheLatest();
}

TEST_F(ControlPlaneTest, IncompleteTableWaitsUntilItsServiceIsThere) {
  const auto before = Revision();
  auto& plan = fleet_->configuration();
  plan.routes.push_back(Row("records-hub", "/records"));
  fleet_->PublishConfiguration();
  EXPECT_TRUE(WaitFor([] {
    return AnyNode([](const NodeView& view) { return view.waiting_revision == Revision(); });
  }));
  ExpectNoneLeaves(before, std::chrono::milliseconds(500));
  plan.slots_by_service["records-hub"] = 6;
  fleet_->PutConfiguration(ToJson(plan));  // The same revision, now complete.
  ExpectAllRunTheLatest();
}

TEST_F(ControlPlaneTest, OtherContentAtTheSameRevisionIsAConflictUntilAHigherOne) {
  const auto running = AskNode(fleet_->nodes()[0].plan.admin);
  ASSERT_TRUE(running);
  auto other = fleet_->configuration();
  other.routes[0].timeout_ms += 1;
  fleet_->PutConfiguration(ToJson(other));
  EXPECT_TRUE(WaitFor([] {
    return AnyNode([](const NodeView& view) { return view.conflict_revision == Revision(); });
  }));
  EXPECT_TRUE(AnyNode([&](const NodeView& view) { return view.digest == running->digest; }));
  EXPECT_FALSE(AnyNode([&](const NodeView& view) { return view.digest != running->digest; }));
  Edit();
  ExpectAllRunTheLatest();
}

TEST_F(ControlPlaneTest, NodePausedAcrossAnEditWakesToTheLatest) {
  for (const char* id : {"ank-a-1", "ank-c-2"}) {
    LocalNode& node = fleet_->Node(id);
    const auto before = Revision();
    {
      const Paused paused(*node.process);
      Edit();
      EXPECT_TRUE(WaitFor([&] {
        return std::all_of(fleet_->nodes().begin(), fleet_->nodes().end(), [&](const auto& other) {
          if (other.plan.id == id) return true;
          const auto view = AskNode(other.plan.admin);
          return view && view->revision == Revision();
        });
      }));
      std::this_thread::sleep_for(std::chrono::seconds(3));  // Longer than the pause threshold.
    }
    EXPECT_GT(Revision(), before);
    ExpectAllRunTheLatest();
  }
}

TEST_F(ControlPlaneTest, HerdKilledAndBackReadsTheSourceLittle) {
  Edit();
  ExpectAllRunTheLatest();
  for (auto& node : fleet_->nodes()) node.process->Signal(SIGKILL);
  for (auto& node : fleet_->nodes()) Kill(node);
  const auto reads_before = SourceCounters()["total"].get<int>();
  const auto start = std::chrono::steady_clock::now();
  fleet_->StartNodes();
  ExpectAllRunTheLatest();
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - start);
  const auto reads = SourceCounters()["total"].get<int>() - reads_before;
  EXPECT_LE(reads, kHerdReadsPerSecond * (seconds.count() + 1));
}

}  // namespace
}  // namespace copperlead::standin
