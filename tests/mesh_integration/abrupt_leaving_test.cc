// Instances that leave without saying so: their entries go while they serve on. Sidecars have to
// send them nothing after the bound, also when a call to the store has just failed.
#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr auto kSettleTime = milliseconds(3000);
constexpr auto kRequestInterval = milliseconds(10);
constexpr std::size_t kLeaving = 1;

// Two zones, each with three instances of `desk` and one of `hub`; a client on each machine.
class AbruptLeaving : public ::testing::Test {
 protected:
  void Begin(milliseconds bound) {
    bound_ = bound;
    fleet_.UseRelay();
    fleet_.UseStoreProxies();
    fleet_.Configure(4);
    for (const char* zone : {"ank-a", "ank-b"}) {
      for (const char* service : {"desk", "desk", "desk", "hub"}) fleet_.Add(service, zone);
    }
    const std::string text = std::to_string(bound.count());
    for (const auto& machine : fleet_.machines()) {
      fleet_.Start(*machine, {"--drain-within-ms", text, "--changes-within-ms", text});
    }
    for (const auto& machine : fleet_.machines()) ASSERT_TRUE(fleet_.AwaitReady(*machine));
    for (std::size_t index = 0; index < fleet_.machines().size(); ++index) {
      clients_.emplace_back([this, index] { RunClient(index); });
    }
    std::this_thread::sleep_for(kSettleTime);
  }

  void TearDown() override { EndClients(); }

  void EndClients() {
    stopping_ = true;
    for (auto& client : clients_) client.join();
    clients_.clear();
  }

  void RunClient(std::size_t index) {
    for (int sent = 0; !stopping_; ++sent) {
      MeshRequest request;
      request.id = "m" + std::to_string(index) + "-" + std::to_string(sent);
      fleet_.Call(*fleet_.machines()[index], request);
      std::this_thread::sleep_for(kRequestInterval);
    }
  }

  MeshMachine& leaving() { return *fleet_.machines()[kLeaving]; }

  void RemoveEntry() {
    fleet_.store().Remove("servers/" + leaving().instance_id);
    acknowledged_at_ = Clock::now();
  }

  // One call of each zone's reader fails, then the store is as usual.
  void FailOneCallOfEachReader(StoreTrouble trouble) {
    constexpr std::uint64_t kReaders = 2;
    fleet_.store().SetFault(0, {trouble, {}, kReaders});
    while (fleet_.store().fault_times(0) > 0) std::this_thread::sleep_for(milliseconds(10));
    std::this_thread::sleep_for(milliseconds(700));
  }

  // Waits until well after the bound, then reports the requests that came after it.
  void ExpectNothingAfterTheBound() {
    std::this_thread::sleep_until(acknowledged_at_ + bound_ + milliseconds(3500));
    EndClients();
    std::size_t late = 0;
    std::int64_t latest = 0;
    std::set<std::string> senders;
    for (const auto& run : leaving().instance->runs()) {
      if (run.ran_at <= acknowledged_at_) continue;
      const auto after =
          std::chrono::duration_cast<milliseconds>(run.ran_at - acknowledged_at_).count();
      latest = std::max<std::int64_t>(latest, after);
      if (run.ran_at <= acknowledged_at_ + bound_) continue;
      ++late;
      senders.insert(run.request_id.substr(0, run.request_id.find('-')));
    }
    std::string names;
    for (const auto& sender : senders) names += " " + sender;
    EXPECT_EQ(late, 0U) << "the last one " << latest << " ms after the leaving, from" << names;
    std::cout << "last request " << latest << " ms after the leaving, bound " << bound_.count()
              << "\n";
  }

  void RemoveEntryOf(std::size_t index) {
    fleet_.store().Remove("servers/" + fleet_.machines()[index]->instance_id);
  }

  // @return the longest time between two runs of the machine's instance, from `begin` until now
  milliseconds LongestRest(std::size_t index, Clock::time_point begin) {
    auto last = begin;
    auto longest = Clock::duration::zero();
    for (const auto& run : fleet_.machines()[index]->instance->runs()) {
      if (run.ran_at < begin) continue;
      longest = std::max(longest, run.ran_at - last);
      last = run.ran_at;
    }
    return std::chrono::duration_cast<milliseconds>(std::max(longest, Clock::now() - last));
  }

  MeshFleet fleet_;
  milliseconds bound_{0};
  std::vector<std::thread> clients_;
  std::atomic<bool> stopping_{false};
  Clock::time_point acknowledged_at_;
};

// Guards against taking a removal for a lapse because one call to the store failed before it.
TEST_F(AbruptLeaving, RequestsReachedAnInstanceAfterARefusedWatch) {
  Begin(milliseconds(2000));
  FailOneCallOfEachReader(StoreTrouble::kBusy);
  RemoveEntry();
  ExpectNothingAfterTheBound();
}

// As above: the call's connection was reset.
TEST_F(AbruptLeaving, RequestsReachedAnInstanceAfterAResetWatch) {
  Begin(milliseconds(2000));
  FailOneCallOfEachReader(StoreTrouble::kReset);
  RemoveEntry();
  ExpectNothingAfterTheBound();
}

// Guards against learning of a removal only when a silent watch has timed out.
TEST_F(AbruptLeaving, RequestsReachedAnInstanceWhileTheWatchWasSilent) {
  Begin(milliseconds(2000));
  for (const auto& machine : fleet_.machines()) machine->store_faults->SilenceOpenConnections();
  std::this_thread::sleep_for(milliseconds(100));
  RemoveEntry();
  ExpectNothingAfterTheBound();
}

// Guards against waits that keep the usual bound and exceed a shorter one.
TEST_F(AbruptLeaving, AShorterBoundHoldsWhileTheWatchIsSilent) {
  Begin(milliseconds(1000));
  for (const auto& machine : fleet_.machines()) machine->store_faults->SilenceOpenConnections();
  RemoveEntry();
  ExpectNothingAfterTheBound();
}

// Guards against dropping running instances whose entries expired in an outage, or expire right
// after it, before they could be renewed.
TEST_F(AbruptLeaving, InstancesWhoseEntriesExpireInAnOutageServeOn) {
  Begin(milliseconds(2000));
  const auto begin = Clock::now();
  fleet_.store().SetFault(0, {StoreTrouble::kBusy, {}});
  std::this_thread::sleep_for(milliseconds(2900));
  RemoveEntryOf(1);
  std::this_thread::sleep_for(milliseconds(100));
  fleet_.store().SetFault(0, {});
  std::this_thread::sleep_for(milliseconds(700));
  RemoveEntryOf(4);
  std::this_thread::sleep_for(milliseconds(1300));
  for (const std::size_t index : {1, 4}) fleet_.List(*fleet_.machines()[index]);
  std::this_thread::sleep_for(milliseconds(2000));
  EndClients();
  EXPECT_LE(LongestRest(1, begin), milliseconds(700));
  EXPECT_LE(LongestRest(4, begin), milliseconds(700));
}

}  // namespace
}  // namespace copperlead::standin
