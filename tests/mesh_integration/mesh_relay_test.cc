// Sidecars that pass the store's changes on, in their zone and between zones.
#include <gtest/gtest.h>

#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

constexpr auto kInForce = std::chrono::milliseconds(2000);
constexpr auto kSettled = std::chrono::milliseconds(3000);

// Four machines: what is in force on them.
class MeshFour : public ::testing::Test {
 protected:
  void AwaitSettled() {
    for (const auto& machine : fleet_.machines()) ASSERT_TRUE(fleet_.AwaitReady(*machine));
    std::this_thread::sleep_for(kSettled);
  }

  // Ends the sidecar of a machine and waits for its end.
  void Kill(std::size_t index) {
    ChildProcess& sidecar = *fleet_.machines()[index]->sidecar;
    sidecar.Signal(SIGKILL);
    sidecar.Wait(std::chrono::seconds(5));
  }

  // @return whether the machines from `first` on serve `path` in time.
  bool Served(const std::string& path, std::size_t first = 0) {
    const auto until = std::chrono::steady_clock::now() + kInForce;
    for (std::size_t index = first; index < 4;) {
      MeshRequest request;
      request.path = path;
      request.id = "r-" + std::to_string(++sent_);
      if (fleet_.Call(*fleet_.machines()[index], request).status == 200) {
        ++index;
        continue;
      }
      if (std::chrono::steady_clock::now() > until) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
  }

  MeshFleet fleet_;
  int sent_ = 0;
};

// All in one zone; the first reads listener 0 of the store, the others listener 1.
class MeshRelay : public MeshFour {
 protected:
  void SetUp() override {
    fleet_.UseRelay();
    fleet_.Configure(4);
    fleet_.Add("desk", "ank-a", 0);
    for (int more = 0; more < 2; ++more) fleet_.Add("desk", "ank-a", 1);
    fleet_.Add("hub", "ank-a", 1);
    // The strong machine reads once all have settled.
    fleet_.Start(*fleet_.machines()[0], {"--cpu-share", "1"});
    for (std::size_t index = 1; index < 4; ++index) {
      fleet_.Start(*fleet_.machines()[index], {"--cpu-share", "0.1"});
    }
    AwaitSettled();
  }
};

// Two zones of two; the first zone reads listener 0 of the store, the second listener 1.
class MeshZones : public MeshFour {
 protected:
  void SetUp() override {
    fleet_.UseRelay();
    fleet_.Configure(4);
    fleet_.Add("desk", "ank-a", 0);
    fleet_.Add("hub", "ank-a", 0);
    fleet_.Add("desk", "ank-b", 1);
    fleet_.Add("hub", "ank-b", 1);
    for (auto& machine : fleet_.machines()) fleet_.Start(*machine);
    AwaitSettled();
  }

  void RestartSecondZone() {
    for (std::size_t index : {2, 3}) Kill(index);
    for (std::size_t index : {2, 3}) fleet_.Start(*fleet_.machines()[index]);
  }
};

TEST_F(MeshRelay, OneReaderCarriesTheChangesForItsZone) {
  const auto before = fleet_.store().calls(1);
  for (std::uint64_t version = 5; version < 15; ++version) {
    const std::string name = "new" + std::to_string(version);
    fleet_.Configure(version, ExtraRoute(name, "/" + name + "/", "hub"));
    EXPECT_TRUE(Served("/" + name + "/1"));
  }
  // Three other machines with watches of their own would have made 30 calls and more.
  EXPECT_LE(fleet_.store().calls(1) - before, 3U);
}

TEST_F(MeshRelay, AKilledReaderIsReplacedInTime) {
  fleet_.machines()[0]->sidecar->Signal(SIGKILL);
  fleet_.Configure(5, ExtraRoute("new", "/new/", "hub"));
  EXPECT_TRUE(Served("/new/1", 1));
}

TEST_F(MeshRelay, APausedReaderIsReplacedInTime) {
  const Paused paused(*fleet_.machines()[0]->sidecar);
  fleet_.Configure(5, ExtraRoute("new", "/new/", "hub"));
  EXPECT_TRUE(Served("/new/1", 1));
}

TEST_F(MeshRelay, AReaderThatTheStoreRefusesIsRelievedAndKeptUpToDate) {
  fleet_.store().SetFault(0, {StoreTrouble::kBusy, {}});
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  fleet_.Configure(5, ExtraRoute("new", "/new/", "hub"));
  EXPECT_TRUE(Served("/new/1", 0));
}

TEST_F(MeshRelay, ARestartedNodeThatTheStoreRefusesLearnsFromItsZone) {
  fleet_.store().SetFault(1, {StoreTrouble::kMany, {}});
  Kill(1);
  MeshMachine& machine = *fleet_.machines()[1];
  fleet_.Start(machine, {"--cpu-share", "0.1"});
  EXPECT_TRUE(fleet_.AwaitReady(machine));
  EXPECT_TRUE(Served("/look/1", 1));
}

TEST_F(MeshRelay, ARestartedNodeLearnsFromItsZoneWhileTheStoreIsDownForAll) {
  for (std::size_t listener : {0, 1}) fleet_.store().SetFault(listener, {StoreTrouble::kBusy, {}});
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  Kill(1);
  MeshMachine& machine = *fleet_.machines()[1];
  fleet_.Start(machine, {"--cpu-share", "0.1"});
  EXPECT_TRUE(fleet_.AwaitReady(machine));
  EXPECT_TRUE(Served("/look/1", 1));
}

TEST_F(MeshRelay, AStoppedReaderHandsOverWithoutADelay) {
  fleet_.machines()[0]->sidecar->Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  fleet_.Configure(5, ExtraRoute("new", "/new/", "hub"));
  EXPECT_TRUE(Served("/new/1", 1));
}

TEST_F(MeshZones, AZoneThatTheStoreRefusesIsKeptUpToDateByTheOthers) {
  fleet_.store().SetFault(1, {StoreTrouble::kBusy, {}});
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  for (std::uint64_t version = 5; version < 8; ++version) {
    const std::string name = "new" + std::to_string(version);
    fleet_.Configure(version, ExtraRoute(name, "/" + name + "/", "hub"));
    EXPECT_TRUE(Served("/" + name + "/1"));
  }
}

TEST_F(MeshZones, AZoneThatTheStoreDropsIsKeptUpToDateByTheOthers) {
  fleet_.store().SetFault(1, {StoreTrouble::kSilent, {}});
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  fleet_.Configure(5, ExtraRoute("new", "/new/", "hub"));
  EXPECT_TRUE(Served("/new/1"));
}

TEST_F(MeshZones, AZoneThatStartsWhileTheStoreRefusesItLearnsFromTheOthers) {
  fleet_.store().SetFault(1, {StoreTrouble::kMany, {}});
  RestartSecondZone();
  for (std::size_t index : {2, 3}) EXPECT_TRUE(fleet_.AwaitReady(*fleet_.machines()[index]));
  EXPECT_TRUE(Served("/look/1"));
}

TEST_F(MeshZones, AZoneThatStartsWhileTheStoreIsDownForAllLearnsFromTheOthers) {
  for (std::size_t listener : {0, 1}) fleet_.store().SetFault(listener, {StoreTrouble::kBusy, {}});
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  RestartSecondZone();
  for (std::size_t index : {2, 3}) EXPECT_TRUE(fleet_.AwaitReady(*fleet_.machines()[index]));
  EXPECT_TRUE(Served("/look/1"));
}

// A strong machine reads listener 0 of the store, a weak one, on a narrow link, listener 1.
class StartTogether : public ::testing::Test {
 protected:
  StartTogether() : strong_(fleet_.Add("desk", "ank-a", 0)), weak_(fleet_.Add("desk", "ank-a", 1)) {
    fleet_.UseRelay();
    fleet_.Configure(4);
  }

  void StartWeak() { fleet_.Start(weak_, {"--link-mbps", "5", "--cpu-share", "0.1"}); }

  MeshFleet fleet_;
  MeshMachine& strong_;
  MeshMachine& weak_;
};

TEST_F(StartTogether, TheWeakGetWhatTheStrongHaveListed) {
  fleet_.Start(strong_);
  StartWeak();
  ASSERT_TRUE(fleet_.AwaitReady(weak_));
  EXPECT_EQ(fleet_.store().calls(1), 0U);
}

TEST_F(StartTogether, TheWeakThatStartALittleLaterGetItToo) {
  fleet_.Start(strong_);
  ASSERT_TRUE(fleet_.AwaitReady(strong_));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  StartWeak();
  ASSERT_TRUE(fleet_.AwaitReady(weak_));
  EXPECT_EQ(fleet_.store().calls(1), 0U);
}

TEST_F(StartTogether, TheWeakListThemselvesWhenNobodyOffersAnything) {
  StartWeak();
  ASSERT_TRUE(fleet_.AwaitReady(weak_));
  EXPECT_GE(fleet_.store().calls(1), 1U);
}

// Ten machines of one zone that start together, none of which is listed.
class UnlistedStart : public ::testing::Test {
 protected:
  static constexpr std::size_t kMachines = 10;

  void SetUp() override {
    fleet_.UseRelay();
    fleet_.Configure(4);
    for (std::size_t index = 0; index < kMachines; ++index) fleet_.Add("desk");
    for (const auto& machine : fleet_.machines()) Unlist(*machine);
    for (auto& machine : fleet_.machines()) fleet_.Start(*machine);
  }

  void Unlist(const MeshMachine& machine) {
    fleet_.store().Remove("servers/" + machine.instance_id);
  }

  // @return how many machines take `path` for a route's within the time.
  std::size_t Know(const std::string& path) {
    const auto until = std::chrono::steady_clock::now() + kInForce;
    std::size_t known = 0;
    for (std::size_t index = 0; index < kMachines; ++index) {
      MeshRequest request;
      request.path = path;
      request.id = "s-" + std::to_string(++sent_);
      int status = 404;
      while ((status = fleet_.Call(*fleet_.machines()[index], request).status) == 404 &&
             std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      known += status == 404 ? 0 : 1;
    }
    return known;
  }

  MeshFleet fleet_;
  int sent_ = 0;
};

TEST_F(UnlistedStart, ThoseThatAreNotListedYetLiveOnTheReaderOfThoseThatAre) {
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  for (std::size_t index : {0, 1, 2}) fleet_.List(*fleet_.machines()[index]);
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  const auto before = fleet_.store().calls(0);
  // Two old listings a machine, and what a reader or two have asked since.
  EXPECT_LE(before, 2 * kMachines + 15);
  fleet_.Configure(5, ExtraRoute("new", "/new/", "desk"));
  EXPECT_EQ(Know("/new/1"), kMachines);
  // Seven readers more would have made seven calls and more.
  EXPECT_LE(fleet_.store().calls(0) - before, 6U);
}

TEST_F(UnlistedStart, WhereNobodyIsListedEachReadsForItself) {
  std::this_thread::sleep_for(std::chrono::milliseconds(5000));
  fleet_.Configure(5, ExtraRoute("new", "/new/", "desk"));
  EXPECT_EQ(Know("/new/1"), kMachines);
}

TEST_F(UnlistedStart, TheKilledReaderOfThoseThatAreNotListedIsReplaced) {
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  for (std::size_t index : {0, 1, 2}) fleet_.List(*fleet_.machines()[index]);
  std::this_thread::sleep_for(std::chrono::milliseconds(4000));
  // Whichever of the listed reads: two are killed, the third goes on.
  for (std::size_t index : {0, 1}) {
    fleet_.machines()[index]->sidecar->Signal(SIGKILL);
    fleet_.machines()[index]->sidecar->Wait(std::chrono::seconds(5));
  }
  fleet_.Start(*fleet_.machines()[0]);
  fleet_.Start(*fleet_.machines()[1]);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  fleet_.Configure(5, ExtraRoute("new", "/new/", "desk"));
  EXPECT_EQ(Know("/new/1"), kMachines);
}

}  // namespace
}  // namespace copperlead::standin
