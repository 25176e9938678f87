// Nodes that stand still for seconds while the store answers all others, or answers nobody.
#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr auto kBound = milliseconds(2000);
constexpr auto kPause = milliseconds(4000);
constexpr auto kSettleTime = milliseconds(3000);
constexpr auto kRequestInterval = milliseconds(10);
constexpr std::size_t kMachines = 4;

// One zone with four instances of `desk`. The node that ranks first among its readers starts last,
// so that another one reads.
class PausedNode : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.UseRelay();
    fleet_.Configure(version_);
    for (std::size_t index = 0; index < kMachines; ++index) fleet_.Add("desk");
    paused_ = FirstInRank();
    for (std::size_t index = 0; index < kMachines; ++index) {
      if (index != paused_) Start(index);
    }
    for (std::size_t index = 0; index < kMachines; ++index) {
      if (index == paused_) continue;
      ASSERT_TRUE(fleet_.AwaitReady(*fleet_.machines()[index]));
    }
    std::this_thread::sleep_for(kSettleTime);
    Start(paused_);
    ASSERT_TRUE(fleet_.AwaitReady(*fleet_.machines()[paused_]));
    for (std::size_t index = 0; index < kMachines; ++index) {
      if (index != paused_) clients_.emplace_back([this, index] { RunClient(index); });
    }
    std::this_thread::sleep_for(kSettleTime);
  }

  void TearDown() override { EndClients(); }

  void Start(std::size_t index) {
    const auto bound = std::to_string(kBound.count());
    fleet_.Start(*fleet_.machines()[index],
                 {"--drain-within-ms", bound, "--changes-within-ms", bound});
  }

  // Of equally strong machines, the one whose id has the lowest hash.
  std::size_t FirstInRank() const {
    const auto rank = [](const auto& machine) {
      const std::string id = "node-" + machine->ip;
      return XXH3_64bits(id.data(), id.size());
    };
    const auto& machines = fleet_.machines();
    const auto first =
        std::min_element(machines.begin(), machines.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return static_cast<std::size_t>(first - machines.begin());
  }

  void Signal(std::size_t index, int signal) { fleet_.machines()[index]->sidecar->Signal(signal); }

  void RunClient(std::size_t index) {
    for (int sent = 0; !stopping_; ++sent) {
      MeshRequest request;
      request.id = "m" + std::to_string(index) + "-" + std::to_string(sent);
      served_ += fleet_.Call(*fleet_.machines()[index], request).status == 200 ? 1 : 0;
      ++answered_;
      std::this_thread::sleep_for(kRequestInterval);
    }
  }

  void EndClients() {
    stopping_ = true;
    for (auto& client : clients_) client.join();
    clients_.clear();
  }

  // The change of the configuration lets the nodes' positions differ when the paused one goes on.
  void PauseBesideAChange() {
    Signal(paused_, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(20));
    fleet_.Configure(version_ += 2);
    std::this_thread::sleep_for(kPause);
    Signal(paused_, SIGCONT);
  }

  // Runs at the instance later than the bound after `gone_at`.
  std::size_t RunsAfterTheBound(std::size_t index, Clock::time_point gone_at) const {
    const auto runs = fleet_.machines()[index]->instance->runs();
    return static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [&](const auto& run) { return run.ran_at > gone_at + kBound; }));
  }

  MeshFleet fleet_;
  std::size_t paused_ = 0;
  std::uint64_t version_ = 4;
  std::vector<std::thread> clients_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> served_{0}, answered_{0};
};

// Guards against taking a pause of the node itself for an outage of the store: its zone went on
// sending to an instance whose entry went just after the pause.
TEST_F(PausedNode, TookItsPauseForAnOutageAndKeptAnInstanceThatHadLeft) {
  const std::size_t leaving = (paused_ + 1) % kMachines;
  PauseBesideAChange();
  std::this_thread::sleep_for(milliseconds(100));
  fleet_.store().Remove("servers/" + fleet_.machines()[leaving]->instance_id);
  const auto gone_at = Clock::now();
  std::this_thread::sleep_for(kBound + milliseconds(2000));
  EndClients();
  EXPECT_EQ(RunsAfterTheBound(leaving, gone_at), 0U);
}

// Guards against forgiving a pause in which the store was down for all: the entries that expired
// meanwhile are those of running instances.
TEST_F(PausedNode, KeepsInstancesWhoseEntriesExpiredInAnOutageThatItSlept) {
  fleet_.store().SetFault(0, {StoreTrouble::kBusy, {}});
  Signal(paused_, SIGSTOP);
  std::this_thread::sleep_for(kPause);
  for (std::size_t index = 0; index < kMachines; ++index) {
    fleet_.store().Remove("servers/" + fleet_.machines()[index]->instance_id);
  }
  fleet_.store().SetFault(0, {});
  Signal(paused_, SIGCONT);
  std::this_thread::sleep_for(milliseconds(1500));
  for (const auto& machine : fleet_.machines()) fleet_.List(*machine);
  std::this_thread::sleep_for(milliseconds(1500));
  EndClients();
  EXPECT_EQ(served_, answered_);
}

}  // namespace
}  // namespace copperlead::standin
