// Instances that state in their answers how many requests a second they take, or that they leave.
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/statement_checks.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHub = 3;

// Three machines with an instance of `desk` and one with `hub`, all of which get clients.
class InstanceStatements : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.UseRelay();
    fleet_.Configure(4);
    for (int desks = 0; desks < 3; ++desks) fleet_.Add("desk");
    fleet_.Add("hub");
    ASSERT_TRUE(fleet_.StartAll());
    // So that every machine is known to the others.
    std::this_thread::sleep_for(milliseconds(1000));
  }

  MeshMachine& Desk(std::size_t index) { return *fleet_.machines()[index]; }
  Instance& At(std::size_t index) { return *Desk(index).instance; }

  HttpAnswer Call(const MeshMachine& machine, const std::string& deadline_ms = "500") {
    MeshRequest request;
    request.id = "q-" + std::to_string(++sent_);
    request.deadline_ms = deadline_ms;
    return checks_.Call(fleet_, machine, request);
  }

  // Sends requests to the machines from `first` on, from so many clients each. @return the share
  // that was served
  double Load(milliseconds duration, std::size_t first = 0, int clients_each = 1) {
    const auto until = std::chrono::steady_clock::now() + duration;
    std::atomic<int> all{0}, served{0};
    std::vector<std::thread> clients;
    for (std::size_t index = first; index < fleet_.machines().size(); ++index) {
      for (int client = 0; client < clients_each; ++client) {
        clients.emplace_back([&, index] {
          while (std::chrono::steady_clock::now() < until) {
            ++all;
            if (Call(Desk(index)).status == 200) ++served;
            std::this_thread::sleep_for(milliseconds(8));
          }
        });
      }
    }
    for (auto& client : clients) client.join();
    return static_cast<double>(served) / all;
  }

  void Restart(MeshMachine& machine, int signal) {
    machine.sidecar->Signal(signal);
    machine.sidecar->Wait(std::chrono::seconds(8));
    fleet_.Start(machine);
    checks_.Excuse(machine);
  }

  void ExpectKept() const {
    for (const std::string& broken : checks_.BrokenLimits(fleet_)) ADD_FAILURE() << broken;
    for (const std::string& late : checks_.LateToLeaving(fleet_)) ADD_FAILURE() << late;
  }

  MeshFleet fleet_;
  StatementChecks checks_;
  std::atomic<int> sent_{0};
};

// Guards against limits that nobody reads: instances got whatever their slots took.
TEST_F(InstanceStatements, AnInstanceGetsNoMoreThanTheLimitThatItStates) {
  At(0).StateLimit("12.5");
  At(1).StateLimit("1.9");
  EXPECT_GE(Load(milliseconds(9000)), 0.99);
  ExpectKept();
}

// Guards against requests for an instance that leaves and whose entry doesn't say so.
TEST_F(InstanceStatements, AnInstanceThatStatesThatItLeavesGetsNothingNew) {
  At(0).StateLeaving();
  EXPECT_GE(Load(milliseconds(4000)), 0.99);
  ExpectKept();
}

TEST_F(InstanceStatements, ALimitThatRisesAndFallsHoldsAtEachValue) {
  for (const char* limit : {"20", "2", "0", "40", "0.5"}) {
    At(0).StateLimit(limit);
    At(1).StateLimit(limit);
    EXPECT_GE(Load(milliseconds(3500)), 0.98) << limit;
  }
  ExpectKept();
}

// Guards against refusals for the limits of some instances while another is free, which has just
// taken too long for one request.
TEST_F(InstanceStatements, AFreeInstanceThatWasSlowOnceIsAskedBeforeARefusal) {
  At(0).StateLimit("0.5");
  At(1).StateLimit("0.5");
  Load(milliseconds(3500));
  for (int slow = 0; slow < 3; ++slow) {
    At(2).SetWork(milliseconds(700));
    Call(Desk(2));
    Call(Desk(kHub));
    At(2).SetWork(milliseconds(0));
    EXPECT_GE(Load(milliseconds(700), 2), 0.98);
  }
  ExpectKept();
}

// Guards against a node that starts beside a limited instance and knows nothing of the limit.
TEST_F(InstanceStatements, ALimitHoldsThroughRestartsOfTheNodeBesideTheInstance) {
  for (std::size_t desk = 0; desk < 3; ++desk) {
    At(desk).StateLimit("0");
    // So that much is sent before the first answer.
    At(desk).SetWork(milliseconds(200));
  }
  Load(milliseconds(3500));
  std::thread restarts([&] {
    for (const int signal : {SIGKILL, SIGTERM, SIGKILL, SIGTERM, SIGKILL}) {
      Restart(Desk(0), signal);
      fleet_.AwaitReady(Desk(0));
      std::this_thread::sleep_for(milliseconds(500));
    }
  });
  Load(milliseconds(6000), 1, 4);
  restarts.join();
  ExpectKept();
}

TEST_F(InstanceStatements, ALimitHoldsWhenTheNodeBesideTheInstanceWakesLate) {
  for (std::size_t desk = 0; desk < 3; ++desk) At(desk).StateLimit("3");
  Load(milliseconds(3500));
  std::thread pauses([&] {
    for (int pause = 0; pause < 3; ++pause) {
      checks_.Excuse(Desk(0));
      const Paused paused(*Desk(0).sidecar);
      std::this_thread::sleep_for(milliseconds(1200));
      checks_.Excuse(Desk(0));
    }
  });
  Load(milliseconds(6000));
  pauses.join();
  ExpectKept();
}

TEST_F(InstanceStatements, TheEndOfALimitIsNoticedAlsoWithoutRequests) {
  for (std::size_t desk = 0; desk < 3; ++desk) At(desk).StateLimit("0");
  At(1).KeepLimitFromHealthAnswers();
  Load(milliseconds(1000));
  EXPECT_LE(Load(milliseconds(1500)), 0.1);
  for (std::size_t desk = 0; desk < 3; ++desk) At(desk).StateLimit("");
  std::this_thread::sleep_for(milliseconds(3000));
  Load(milliseconds(500));
  EXPECT_GE(Load(milliseconds(1000)), 0.99);
}

TEST_F(InstanceStatements, WhatNoInstanceHasRoomForIsRefusedAtOnceAndHasNotRun) {
  for (std::size_t desk = 0; desk < 3; ++desk) At(desk).StateLimit("0.5");
  Load(milliseconds(1000));
  int refused = 0;
  for (int sent = 0; sent < 20; ++sent) {
    const auto began = std::chrono::steady_clock::now();
    const HttpAnswer answer = Call(Desk(0));
    if (answer.status == 200) continue;
    ++refused;
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.body, "instance_limited\n");
    EXPECT_GT(std::stod(answer.Header("retry-after")), 0);
    EXPECT_LT(std::stod(answer.Header("retry-after")), 5);
    EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(300));
    EXPECT_EQ(fleet_.RunsOf("q-" + std::to_string(sent_)), 0);
  }
  EXPECT_GE(refused, 10);
}

TEST_F(InstanceStatements, FieldsReachClientsAsTheInstanceSentThem) {
  const std::string large(4'000, '7');
  for (const std::string& text : {std::string("25.5"), std::string("nan"), std::string("-1"),
                                  std::string("1,5"), std::string("20 MB"), large}) {
    for (std::size_t desk = 0; desk < 3; ++desk) {
      At(desk).StateLimit(text);
      At(desk).StateLeaving("no");
    }
    for (const auto& machine : fleet_.machines()) {
      const HttpAnswer answer = Call(*machine);
      EXPECT_EQ(answer.status, 200) << text.substr(0, 20);
      EXPECT_EQ(answer.Header("server-limit"), text) << text.substr(0, 20);
      EXPECT_EQ(answer.Header("server-leaving"), "no");
    }
  }
}

// Guards against a request for an instance that leaves after its entry was written again as ready,
// while the store is away, and from nodes whose peer beside the instance has forgotten it.
TEST_F(InstanceStatements, LeavingHoldsWhateverTheStoreSaysAndWhoeverRestarts) {
  At(0).StateLeaving();
  Load(milliseconds(500));
  fleet_.store().SetFault(0, {StoreTrouble::kReset, {}});
  Load(milliseconds(2500));
  // So that the node beside it takes long to learn again that it leaves.
  At(0).SetWork(milliseconds(300));
  Restart(Desk(0), SIGKILL);
  Load(milliseconds(1500), 1);
  fleet_.store().SetFault(0, {});
  fleet_.List(Desk(0));
  Load(milliseconds(1500), 1);
  Restart(Desk(0), SIGKILL);
  Load(milliseconds(1500), 1);
  fleet_.store().Restore(milliseconds(3000));
  fleet_.List(Desk(0));
  EXPECT_GE(Load(milliseconds(2500)), 0.99);
  ExpectKept();
}

TEST_F(InstanceStatements, AnIncarnationThatFollowsALeavingOneServes) {
  At(0).StateLeaving();
  Load(milliseconds(500));
  At(0).SetId("i-1-next");
  At(0).StateLeaving("");
  fleet_.store().Remove("servers/i-1");
  Desk(0).instance_id = "i-1-next";
  fleet_.List(Desk(0));
  const auto before = At(0).runs().size();
  EXPECT_TRUE(Eventually([&] {
    EXPECT_EQ(Call(Desk(0)).status, 200);
    return At(0).runs().size() > before;
  }));
}

}  // namespace
}  // namespace copperlead::standin
