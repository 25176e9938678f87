// Sidecars whose store is restored from a backup: it loses its latest changes and reuses their
// revisions.
#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr auto kInForce = milliseconds(2000);

// Two zones, each with two instances of `desk` and one of `hub`.
class RestoredStore : public ::testing::Test {
 protected:
  static constexpr std::size_t kDesk = 0, kOtherDesk = 1, kHub = 2;

  void SetUp() override {
    fleet_.UseRelay();
    Configure();
    for (const char* zone : {"ank-a", "ank-b"}) {
      for (const char* service : {"desk", "desk", "hub"}) fleet_.Add(service, zone);
    }
    ASSERT_TRUE(fleet_.StartAll());
    std::this_thread::sleep_for(milliseconds(3000));
  }

  // Writes the next version, which adds a route.
  void Configure() {
    ++version_;
    Rewrite();
  }

  // Writes the current version again.
  void Rewrite() {
    std::string routes;
    for (int version = 5; version <= version_; ++version) {
      const std::string name = "v" + std::to_string(version);
      routes += ExtraRoute(name, "/" + name + "/", "hub");
    }
    fleet_.Configure(static_cast<std::uint64_t>(version_), routes);
  }

  // Writes versions, waits until they are in force, then restores a backup that lacks them.
  void ChangeAndRestore(int changes) {
    const auto before = Clock::now();
    for (int change = 0; change < changes; ++change) Configure();
    EXPECT_TRUE(InForce());
    RestoreTo(before);
  }

  void RestoreTo(Clock::time_point moment) {
    fleet_.store().Restore(std::chrono::ceil<milliseconds>(Clock::now() - moment));
  }

  int Status(const MeshMachine& machine, const std::string& path) {
    MeshRequest request;
    request.path = path;
    request.id = "r-" + std::to_string(++sent_);
    return fleet_.Call(machine, request).status;
  }

  // @return whether all machines serve the latest version's route in time.
  bool InForce() {
    const auto until = Clock::now() + kInForce;
    const std::string path = "/v" + std::to_string(version_) + "/1";
    for (std::size_t index = 0; index < fleet_.machines().size();) {
      if (Status(*fleet_.machines()[index], path) == 200) {
        ++index;
        continue;
      }
      if (Clock::now() > until) return false;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
  }

  MeshMachine& machine(std::size_t index) { return *fleet_.machines()[index]; }

  // Sends requests for `desk` to all machines. @return how many the machine's instance ran.
  std::size_t RunsAt(std::size_t index) {
    const auto before = machine(index).instance->runs().size();
    for (int round = 0; round < 10; ++round) {
      for (const auto& sender : fleet_.machines()) EXPECT_EQ(Status(*sender, "/look/1"), 200);
    }
    return machine(index).instance->runs().size() - before;
  }

  MeshFleet fleet_;
  int version_ = 4;
  int sent_ = 0;
};

// Guards against ignoring changes at revisions that nodes had passed before the restore.
TEST_F(RestoredStore, AChangeUnderARevisionGivenOutAgainIsInForceInTime) {
  ChangeAndRestore(5);
  Configure();
  EXPECT_TRUE(InForce());
}

TEST_F(RestoredStore, AnInstanceThatLeavesUnderARevisionGivenOutAgainGetsNothingNew) {
  ChangeAndRestore(5);
  fleet_.List(machine(kDesk), "draining");
  std::this_thread::sleep_for(kInForce);
  EXPECT_EQ(RunsAt(kDesk), 0U);
}

// Guards against readers that list and watch in a loop until the old revision is reached.
TEST_F(RestoredStore, IsListedOnceByEachReader) {
  ChangeAndRestore(5);
  const auto before = fleet_.store().calls(0);
  std::this_thread::sleep_for(milliseconds(3000));
  // Two readers watch about twice each in that time.
  EXPECT_LE(fleet_.store().calls(0) - before, 16U);
}

TEST_F(RestoredStore, ALostConfigurationStaysInForceUntilItIsWrittenAgain) {
  ChangeAndRestore(3);
  std::this_thread::sleep_for(kInForce);
  EXPECT_TRUE(InForce());
  Rewrite();
  Configure();
  EXPECT_TRUE(InForce());
}

TEST_F(RestoredStore, AnInstanceWhoseLeavingWasLostGetsNothingNew) {
  const auto before = Clock::now();
  fleet_.List(machine(kDesk), "draining");
  std::this_thread::sleep_for(milliseconds(1000));
  RestoreTo(before);
  for (int second = 0; second < 4; ++second) {
    EXPECT_EQ(RunsAt(kDesk), 0U);
    std::this_thread::sleep_for(milliseconds(1000));
  }
}

TEST_F(RestoredStore, AnInstanceWhoseEntryWasLostServesUntilItIsWrittenAgain) {
  fleet_.store().Remove("servers/" + machine(kDesk).instance_id);
  std::this_thread::sleep_for(milliseconds(300));
  const auto unlisted = Clock::now();
  fleet_.List(machine(kDesk));
  std::this_thread::sleep_for(milliseconds(1000));
  RestoreTo(unlisted);
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_GT(RunsAt(kDesk), 0U);
  fleet_.List(machine(kDesk));
  std::this_thread::sleep_for(milliseconds(4000));
  EXPECT_GT(RunsAt(kDesk), 0U);
}

TEST_F(RestoredStore, NodesThatMissedTheRestorationEndWithTheSameState) {
  {
    const Paused paused(*machine(kHub).sidecar);
    const auto backup_time = Clock::now();
    Configure();
    std::this_thread::sleep_for(milliseconds(600));
    fleet_.store().SetFault(0, {StoreTrouble::kReset, {}});
    machine(kOtherDesk).sidecar->Signal(SIGKILL);
    machine(kOtherDesk).sidecar->Wait(std::chrono::seconds(5));
    fleet_.Start(machine(kOtherDesk));
    RestoreTo(backup_time);
    std::this_thread::sleep_for(milliseconds(500));
    fleet_.store().SetFault(0, {});
    Configure();
    fleet_.List(machine(kDesk), "draining");
  }
  EXPECT_TRUE(fleet_.AwaitReady(machine(kOtherDesk)));
  EXPECT_TRUE(InForce());
  std::this_thread::sleep_for(kInForce);
  EXPECT_EQ(RunsAt(kDesk), 0U);
}

}  // namespace
}  // namespace copperlead::standin
