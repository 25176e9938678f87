// Instances that are cold and fall over when they get more than they bear, and zones that are
// evacuated, with real processes.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr int kBorne = 10;  // Requests a second.

// Configuration() with cold starts of desk's instances.
std::string ColdConfiguration(std::uint64_t version) {
  auto text = Configuration(version);
  const std::string place = R"("desk":{)";
  return text.replace(text.find(place), place.size(),
                      place + R"("cold_start_s":2.0,"cold_per_s":)" + std::to_string(kBorne) + ",");
}

// Calls /buy/ `count` times at once, with ids that begin so. @return how many were served.
int CallTogether(const MeshFleet& fleet, const MeshMachine& machine, const std::string& name,
                 int count) {
  std::vector<std::thread> clients;
  std::atomic<int> served = 0;
  for (int i = 0; i < count; ++i) {
    clients.emplace_back([&, i] {
      MeshRequest request;
      request.method = "POST";
      request.path = "/buy/1";
      request.id = name + "-" + std::to_string(i);
      request.deadline_ms = "600";
      request.body = "b";
      if (fleet.Call(machine, request).status == 200) ++served;
    });
  }
  for (auto& client : clients) client.join();
  return served;
}

class ColdInstances : public ::testing::Test {
 protected:
  // Starts the fleet beside instances that are cold from now on.
  void StartBeside(MeshMachine& machine) {
    InstanceSettings settings;
    settings.id = machine.instance_id;
    settings.slots = 50;
    settings.cold = milliseconds(2000);
    settings.cold_most = kBorne * 3 / 2;
    machine.instance->Stop();
    machine.instance = std::make_unique<Instance>(settings);
    machine.instance->Start({machine.ip, 0});
    machine.instance_address = machine.instance->address();
    fleet_.List(machine);
    fleet_.Start(machine, {"--cold-over", "1.5"});
  }

  MeshFleet fleet_;
};

TEST_F(ColdInstances, AStormOfRequestsMakesNoneFallOverAndIsServedOnceItIsWarm) {
  MeshMachine& machine = fleet_.Add("desk");
  fleet_.store().Put("op/config", ColdConfiguration(1));
  StartBeside(machine);
  ASSERT_TRUE(fleet_.AwaitReady(machine));
  const int served = CallTogether(fleet_, machine, "cold", 3 * kBorne);
  EXPECT_GE(served, 1);
  EXPECT_LT(served, 3 * kBorne / 2);
  EXPECT_EQ(machine.instance->falls(), 0);
  std::this_thread::sleep_for(milliseconds(2000));
  EXPECT_EQ(CallTogether(fleet_, machine, "warm", 3 * kBorne), 3 * kBorne);
  EXPECT_EQ(machine.instance->falls(), 0);
}

TEST_F(ColdInstances, UnlessTheNodeKnowsWhatItBears) {
  MeshMachine& machine = fleet_.Add("desk");
  fleet_.Configure(1);
  StartBeside(machine);
  ASSERT_TRUE(fleet_.AwaitReady(machine));
  CallTogether(fleet_, machine, "cold", 3 * kBorne);
  EXPECT_GT(machine.instance->falls(), 0) << "what the other tests of this file prevent";
}

TEST_F(ColdInstances, ANodeThatWasKilledMayHaveSentWhatItNoLongerKnows) {
  MeshMachine& machine = fleet_.Add("desk");
  fleet_.store().Put("op/config", ColdConfiguration(1));
  StartBeside(machine);
  ASSERT_TRUE(fleet_.AwaitReady(machine));
  CallTogether(fleet_, machine, "before", 2 * kBorne);
  machine.sidecar.reset();
  fleet_.Start(machine, {"--cold-over", "1.5"});
  ASSERT_TRUE(fleet_.AwaitReady(machine));
  CallTogether(fleet_, machine, "after", 2 * kBorne);
  EXPECT_EQ(machine.instance->falls(), 0);
}

TEST_F(ColdInstances, OneThatIsColdAgainBehindAnEvacuationIsSpared) {
  MeshMachine& machine = fleet_.Add("desk");
  fleet_.store().Put("op/config", ColdConfiguration(1));
  StartBeside(machine);
  ASSERT_TRUE(fleet_.AwaitReady(machine));
  std::this_thread::sleep_for(milliseconds(2100));
  ASSERT_EQ(CallTogether(fleet_, machine, "warm", 3 * kBorne), 3 * kBorne);

  fleet_.store().Put("op/evacuate/ank-a", "{}");
  const auto refused = [&] { return CallTogether(fleet_, machine, "evacuated", 1) == 0; };
  ASSERT_TRUE(Eventually(refused));
  machine.instance->GoCold();
  fleet_.store().Remove("op/evacuate/ank-a");
  ASSERT_TRUE(Eventually([&] { return !refused(); }));
  CallTogether(fleet_, machine, "returned", 3 * kBorne);
  EXPECT_EQ(machine.instance->falls(), 0);
}

// Two zones, one machine each, the store read by both through the relay.
class Evacuations : public ::testing::Test {
 protected:
  Evacuations() {
    fleet_.UseRelay();
    fleet_.UseFaultProxies();
    here_ = &fleet_.Add("desk", "ank-a");
    there_ = &fleet_.Add("desk", "ank-b");
    fleet_.Configure(1);
  }

  // @return where a request from `machine` ran; none if it wasn't served.
  const MeshMachine* Ran(const MeshMachine& machine) {
    MeshRequest request;
    request.id = "q-" + std::to_string(++requests_);
    if (fleet_.Call(machine, request).status != 200) return nullptr;
    for (const auto& other : fleet_.machines()) {
      if (other->instance->RunsOf(request.id) > 0) return other.get();
    }
    return nullptr;
  }

  bool AllRunAt(const MeshMachine* wanted) {
    bool all = true;
    for (const auto& machine : fleet_.machines()) all = all && Ran(*machine) == wanted;
    return all;
  }

  MeshFleet fleet_;
  MeshMachine* here_ = nullptr;
  MeshMachine* there_ = nullptr;
  int requests_ = 0;
};

TEST_F(Evacuations, NothingGoesToAnEvacuatedZoneUntilItReturns) {
  ASSERT_TRUE(fleet_.StartAll());
  fleet_.store().Put("op/evacuate/ank-a", "{}");
  EXPECT_TRUE(Eventually([&] { return AllRunAt(there_); }));
  fleet_.store().Remove("op/evacuate/ank-a");
  EXPECT_TRUE(Eventually([&] { return Ran(*here_) == here_; }));
}

TEST_F(Evacuations, ANodeThatTheStoreTurnsAwayHearsOfItFromOthers) {
  ASSERT_TRUE(fleet_.StartAll());
  Fault cut;
  cut.kind = FaultKind::kCut;
  here_->store_faults->Set(cut);
  fleet_.store().Put("op/evacuate/ank-a", "{}");
  EXPECT_TRUE(Eventually([&] { return AllRunAt(there_); }));
}

TEST_F(Evacuations, ANodeThatStartsMeanwhileKnowsOfIt) {
  fleet_.store().Put("op/evacuate/ank-b", "{}");
  ASSERT_TRUE(fleet_.StartAll());
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(AllRunAt(here_));
}

TEST_F(Evacuations, WhenEveryZoneIsEvacuatedRequestsAreRefusedAtOnceAndTruthfully) {
  ASSERT_TRUE(fleet_.StartAll());
  fleet_.store().Put("op/evacuate/ank-a", "{}");
  fleet_.store().Put("op/evacuate/ank-b", "{}");
  MeshRequest request;
  request.id = "nowhere";
  const auto status = [&] { return fleet_.Call(*here_, request).status; };
  ASSERT_TRUE(Eventually([&] { return status() == 503; }));
  const auto answer = fleet_.Call(*here_, request);
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.headers.contains("retry-after"));
  fleet_.store().Remove("op/evacuate/ank-a");
  fleet_.store().Remove("op/evacuate/ank-b");
  EXPECT_TRUE(Eventually([&] { return status() == 200; }));
}

TEST_F(Evacuations, AnOrderForAZoneThatDoesNotExistChangesNothing) {
  ASSERT_TRUE(fleet_.StartAll());
  fleet_.store().Put("op/evacuate/nowhere", "{}");
  fleet_.Configure(2, ExtraRoute("added", "/added/", "desk"));
  MeshRequest request;
  request.path = "/added/1";
  EXPECT_TRUE(Eventually([&] { return fleet_.Call(*here_, request).status == 200; }));
  EXPECT_EQ(Ran(*here_), here_);
  EXPECT_EQ(Ran(*there_), there_);
}

}  // namespace
}  // namespace copperlead::standin
