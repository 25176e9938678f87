// Tenants with real sidecars: keys, and limits that hold over all nodes.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr auto kInForce = milliseconds(2000);
constexpr auto kSettled = milliseconds(3000);
constexpr int kLimit = 20;
constexpr int kBurst = 10;
constexpr std::size_t kAllowed = 5 * kLimit + kBurst;
constexpr std::size_t kBound = kAllowed * 5 / 4 + 20;

// Two zones of two; the first reads listener 0 of the store, the second listener 1.
class Tenants : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.UseRelay();
    Configure(4, Usual());
    fleet_.Add("desk", "ank-a", 0);
    fleet_.Add("desk", "ank-a", 0);
    fleet_.Add("desk", "ank-b", 1);
    fleet_.Add("hub", "ank-b", 1);
  }

  void Start(const std::vector<std::string>& flags = {}) {
    for (auto& machine : fleet_.machines()) fleet_.Start(*machine, flags);
    for (auto& machine : fleet_.machines()) ASSERT_TRUE(fleet_.AwaitReady(*machine));
    std::this_thread::sleep_for(kSettled);
  }

  static std::string Usual() {
    return TenantText("gold", "key-gold", 0, 0) + "," +
           TenantText("plain", "key-plain", kLimit, kBurst);
  }

  void Configure(std::uint64_t version, const std::string& tenants) {
    fleet_.Configure(version, ExtraRoute("open", "/open/", "desk", true), tenants);
  }

  // @param key empty: none is sent
  int Call(std::size_t machine, const std::string& key, const std::string& path = "/look/1") {
    MeshRequest request;
    request.path = path;
    request.id = "t-" + std::to_string(++sent_);
    if (!key.empty()) request.more["X-Credential"] = key;
    request.more["X-Tenant"] = "forged";
    return fleet_.Call(*fleet_.machines()[machine], request).status;
  }

  // @return whether calls with the key are answered so on the machines from `first` on, in time.
  bool Answered(const std::string& key, int status, std::size_t first = 0) {
    const auto until = std::chrono::steady_clock::now() + kInForce;
    for (std::size_t machine = first; machine < 4;) {
      if (Call(machine, key) == status) {
        ++machine;
      } else if (std::chrono::steady_clock::now() > until) {
        return false;
      }
    }
    return true;
  }

  std::vector<InstanceRun> Runs() const {
    std::vector<InstanceRun> all;
    for (const auto& machine : fleet_.machines()) {
      const auto runs = machine->instance->runs();
      all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
  }

  // Asks for four times the limit on the first two machines of each zone. @return statuses seen
  std::map<int, int> Press(std::chrono::seconds duration, const std::function<void()>& meanwhile) {
    std::mutex mutex;
    std::map<int, int> statuses;
    std::atomic<bool> stopped{false};
    std::vector<std::thread> clients;
    for (std::size_t machine = 0; machine < 4; ++machine) {
      clients.emplace_back([&, machine] {
        while (!stopped) {
          const int status = Call(machine, "key-plain");
          const std::lock_guard lock(mutex);
          ++statuses[status];
          std::this_thread::sleep_for(milliseconds(50));
        }
      });
    }
    std::this_thread::sleep_for(duration / 2);
    meanwhile();
    std::this_thread::sleep_for(duration / 2);
    stopped = true;
    for (auto& client : clients) client.join();
    return statuses;
  }

  MeshFleet fleet_;
  std::atomic<int> sent_{0};
};

TEST_F(Tenants, TheInstanceLearnsTheTenantAndNeverTheKey) {
  Start();
  for (std::size_t machine = 0; machine < 4; ++machine) EXPECT_EQ(Call(machine, "key-gold"), 200);
  EXPECT_EQ(Call(0, "", "/open/1"), 200);
  int keyed = 0;
  for (const auto& run : Runs()) {
    EXPECT_EQ(run.key, "");
    EXPECT_EQ(run.tenant, run.target == "/open/1" ? "" : "gold");
    keyed += run.tenant == "gold" ? 1 : 0;
  }
  EXPECT_EQ(keyed, 4);
  for (const auto& machine : fleet_.machines()) {
    while (const auto line = machine->decisions->ReadLine(milliseconds(0))) {
      EXPECT_EQ(line->find("key-gold"), std::string::npos) << *line;
    }
  }
}

TEST_F(Tenants, UnknownAndMissingKeysAreRefusedAndRunNowhere) {
  Start();
  EXPECT_EQ(Call(0, "key-none"), 401);
  EXPECT_EQ(Call(2, ""), 401);
  EXPECT_EQ(Call(3, "key-gold", "/nowhere/1"), 404);
  EXPECT_TRUE(Runs().empty());
}

TEST_F(Tenants, AKeyTakenAwayOrPassedOnIsInForceWhereTheStoreRefuses) {
  Start();
  EXPECT_TRUE(Answered("key-gold", 200));
  fleet_.store().SetFault(1, {StoreTrouble::kBusy, {}});
  std::this_thread::sleep_for(milliseconds(500));
  Configure(5, TenantText("gold", "key-other", 0, 0) + "," + TenantText("heir", "key-plain", 0, 0));
  EXPECT_TRUE(Answered("key-gold", 401));
  EXPECT_TRUE(Answered("key-other", 200));
  EXPECT_TRUE(Answered("key-plain", 200));
  EXPECT_EQ(Runs().back().tenant, "heir");
}

TEST_F(Tenants, WithoutAWordOfTheStoreKeysAreAcceptedUnlessSettingsSayOtherwise) {
  for (const bool closed : {false, true}) {
    for (auto& machine : fleet_.machines()) machine->sidecar.reset();
    for (std::size_t listener : {0, 1}) fleet_.store().SetFault(listener, {});
    Start({"--revoke-within-ms", "1000", "--revoke-fail-closed", closed ? "true" : "false"});
    EXPECT_EQ(Call(0, "key-gold"), 200);
    for (std::size_t listener : {0, 1}) {
      fleet_.store().SetFault(listener, {StoreTrouble::kBusy, {}});
    }
    std::this_thread::sleep_for(milliseconds(3500));
    EXPECT_EQ(Call(0, "key-gold"), closed ? 503 : 200);
    EXPECT_EQ(Call(0, "key-none"), 503) << "it may be a new one";
    EXPECT_EQ(Call(0, "", "/open/1"), 200);
  }
}

TEST_F(Tenants, ALimitHoldsOverAllNodesAndIsGivenWhole) {
  Start();
  const auto statuses = Press(std::chrono::seconds(8), [] {});
  EXPECT_LE(BusiestWindowOf(fleet_, "plain").runs, kBound);
  EXPECT_GE(BusiestWindowOf(fleet_, "plain").runs, kAllowed * 8 / 10);
  EXPECT_GT(statuses.at(429), 0);
  EXPECT_EQ(statuses.size(), 2U) << "200 and 429 alone";
}

TEST_F(Tenants, ALimitHoldsWhileNodesAreKilledAndFrozen) {
  Start();
  Press(std::chrono::seconds(10), [&] {
    ChildProcess& killed = *fleet_.machines()[1]->sidecar;
    killed.Signal(SIGKILL);
    killed.Wait(std::chrono::seconds(5));
    fleet_.Start(*fleet_.machines()[1]);
    const Paused paused(*fleet_.machines()[2]->sidecar);
    std::this_thread::sleep_for(std::chrono::seconds(2));
  });
  EXPECT_LE(BusiestWindowOf(fleet_, "plain").runs, kBound);
}

TEST_F(Tenants, InsideTheLimitNothingIsRefused) {
  Start();
  // Ten a second at one node: half of the limit, twice an equal part.
  for (int request = 0; request < 50; ++request) {
    EXPECT_EQ(Call(0, "key-plain"), 200) << request;
    std::this_thread::sleep_for(milliseconds(90));
  }
}

}  // namespace
}  // namespace copperlead::standin
