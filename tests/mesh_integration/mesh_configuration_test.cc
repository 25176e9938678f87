// Configuration and discovery with real sidecars while the store misbehaves.
#include <gtest/gtest.h>

#include <functional>
#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

constexpr auto kInForce = std::chrono::milliseconds(2000);
constexpr auto kAfterTrouble = std::chrono::milliseconds(5000);

class MeshConfigurationTest : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.Configure(4);
    fleet_.Add("desk", "ank-a", 0);
    fleet_.Add("hub", "ank-b", 1);
    ASSERT_TRUE(fleet_.StartAll());
  }

  int Status(std::size_t machine, const std::string& path) {
    MeshRequest request;
    request.path = path;
    request.id = "s-" + std::to_string(++sent_);
    return fleet_.Call(*fleet_.machines()[machine], request).status;
  }

  // @return whether both machines answer `path` with `status` in time.
  bool Becomes(const std::string& path, int status, std::chrono::milliseconds limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    for (;;) {
      if (Status(0, path) == status && Status(1, path) == status) return true;
      if (std::chrono::steady_clock::now() > until) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  // The store is down for all, its entries of instances go meanwhile, and it has been back for 1.2
  // s.
  void LoseEntriesInAnOutage() {
    for (std::size_t listener : {0, 1})
      fleet_.store().SetFault(listener, {StoreTrouble::kBusy, {}});
    // Longer than a watch, so that each node has noticed the outage.
    std::this_thread::sleep_for(std::chrono::milliseconds(1800));
    for (auto& machine : fleet_.machines())
      fleet_.store().Remove("servers/" + machine->instance_id);
    for (std::size_t listener : {0, 1})
      fleet_.store().SetFault(listener, {StoreTrouble::kNone, {}});
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  }

  MeshFleet fleet_;
  int sent_ = 0;
};

TEST_F(MeshConfigurationTest, AVersionIsInForceSoonAndAnOlderOneNever) {
  EXPECT_EQ(Status(0, "/new/1"), 404);
  fleet_.Configure(7, ExtraRoute("new", "/new/", "hub"));
  EXPECT_TRUE(Becomes("/new/1", 200, kInForce));
  fleet_.Configure(5);
  std::this_thread::sleep_for(kInForce);
  EXPECT_EQ(Status(0, "/new/1"), 200);
  EXPECT_EQ(Status(1, "/new/1"), 200);
}

TEST_F(MeshConfigurationTest, ABadVersionIsRefusedWholeAndTheNextOneTaken) {
  const std::string good = Configuration(7, ExtraRoute("new", "/new/", "hub"));
  const std::vector<std::string> bad = {
      good.substr(0, good.size() / 2),
      Configuration(8, ExtraRoute("new", "/new/", "nobody")),
      Configuration(9, ExtraRoute("new", "new", "hub")),
      R"({"version":"8","routes":{},"services":{}})",
      "[]",
      "",
  };
  for (const std::string& text : bad) {
    fleet_.store().Put("op/config", text);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_EQ(Status(0, "/look/1"), 200) << text.substr(0, 60);
    EXPECT_EQ(Status(0, "/new/1"), 404) << text.substr(0, 60);
  }
  fleet_.store().Put("op/config", Configuration(10, ExtraRoute("new", "/new/", "hub")));
  EXPECT_TRUE(Becomes("/new/1", 200, kInForce));
}

TEST_F(MeshConfigurationTest, LostHistoryIsListedAgainInPages) {
  fleet_.store().SetPageSize(1);
  fleet_.store().Compact();
  fleet_.Configure(7, ExtraRoute("new", "/new/", "hub"));
  fleet_.store().Compact();
  EXPECT_TRUE(Becomes("/new/1", 200, kInForce));
}

TEST_F(MeshConfigurationTest, InstancesWhoseEntriesLapseDuringAnOutageServeOn) {
  LoseEntriesInAnOutage();
  EXPECT_EQ(Status(1, "/look/1"), 200);
  for (auto& machine : fleet_.machines()) fleet_.List(*machine);
  EXPECT_TRUE(Becomes("/look/1", 200, kInForce));
}

// Entries are back about 2 s after the store's return; an instance without one by then is gone.
TEST_F(MeshConfigurationTest, AnInstanceThatIsNotListedAgainAfterAnOutageIsGone) {
  LoseEntriesInAnOutage();
  EXPECT_EQ(Status(1, "/look/1"), 200);
  EXPECT_TRUE(Becomes("/look/1", 503, std::chrono::milliseconds(2600)));
}

struct TroubleCase {
  const char* name;
  StoreTrouble trouble;
  bool all;  // Or only the first machine's listener.
};

class StoreTroubles : public MeshConfigurationTest,
                      public ::testing::WithParamInterface<TroubleCase> {};

TEST_P(StoreTroubles, RequestsAreServedMeanwhileAndTheChangeIsTakenAfterwards) {
  const TroubleCase& wanted = GetParam();
  fleet_.store().SetFault(0, {wanted.trouble, std::chrono::milliseconds(250)});
  if (wanted.all) fleet_.store().SetFault(1, {wanted.trouble, std::chrono::milliseconds(250)});
  fleet_.Configure(9, ExtraRoute("new", "/new/", "hub"));
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
  while (std::chrono::steady_clock::now() < until) {
    EXPECT_EQ(Status(0, "/look/1"), 200);
    EXPECT_EQ(Status(1, "/look/1"), 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  fleet_.store().SetFault(0, {StoreTrouble::kNone, {}});
  fleet_.store().SetFault(1, {StoreTrouble::kNone, {}});
  EXPECT_TRUE(Becomes("/new/1", 200, kAfterTrouble));
}

INSTANTIATE_TEST_SUITE_P(All, StoreTroubles,
                         ::testing::Values(TroubleCase{"busy", StoreTrouble::kBusy, true},
                                           TroubleCase{"busy_for_one", StoreTrouble::kBusy, false},
                                           TroubleCase{"many_for_one", StoreTrouble::kMany, false},
                                           TroubleCase{"reset", StoreTrouble::kReset, true},
                                           TroubleCase{"silent", StoreTrouble::kSilent, true},
                                           TroubleCase{"silent_for_one", StoreTrouble::kSilent,
                                                       false},
                                           TroubleCase{"slow", StoreTrouble::kSlow, true},
                                           TroubleCase{"garbled", StoreTrouble::kGarbled, true}),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(MeshStart, WithoutAConfigurationANodeRefusesTruthfullyAndIsNotReady) {
  MeshFleet fleet;
  MeshMachine& machine = fleet.Add("desk");
  fleet.Start(machine);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (fleet.Call(machine, {}).status == 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const HttpAnswer answer = fleet.Call(machine, {});
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(answer.Header("retry-after").empty());
  EXPECT_EQ(fleet.Ready(machine).status, 503);
  fleet.Configure(1);
  EXPECT_TRUE(fleet.AwaitReady(machine));
  EXPECT_EQ(fleet.Call(machine, {}).status, 200);
}

}  // namespace
}  // namespace copperlead::standin
