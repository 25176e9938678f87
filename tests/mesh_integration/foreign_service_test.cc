// Sound entries at the address of an instance that another writer has put there: of a service that
// no configuration names, of another service, in another state or zone.
#include <gtest/gtest.h>

#include <string>
#include <thread>

#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

// Fields of an entry that differ from those of the instance at its address.
struct ForeignEntry {
  const char* name;
  std::string service, state, zone;
  std::int64_t born_later_ms;
};

const ForeignEntry kEntries[] = {
    {"UnnamedService", "inventory", "ready", "ank-a", 0},
    {"UnnamedServiceThatLeaves", "inventory", "draining", "ank-a", 0},
    {"UnnamedServiceBornLater", "inventory", "ready", "ank-a", 60'000},
    {"UnnamedServiceBornEarlier", "inventory", "ready", "ank-a", -9000},
    {"EmptyService", "", "ready", "ank-a", 0},
    {"OtherService", "hub", "ready", "ank-a", 0},
    {"OtherServiceThatLeaves", "hub", "draining", "ank-a", 0},
    {"SameService", "desk", "ready", "ank-a", 0},
    {"SameServiceThatLeaves", "desk", "draining", "ank-a", 0},
    {"OtherZone", "desk", "ready", "ank-b", 0}};

class ForeignServices : public ::testing::TestWithParam<ForeignEntry> {
 protected:
  void SetUp() override { fleet_.Configure(4); }

  void Write(const MeshMachine& machine) {
    const ForeignEntry& entry = GetParam();
    fleet_.store().Put("servers/foreign",
                       R"({"service":")" + entry.service + R"(","address":")" +
                           ToString(machine.instance_address) + R"(","zone":")" + entry.zone +
                           R"(","version":"v1","slots":1,"state":")" + entry.state +
                           R"(","cold_remaining_ms":0,"call_seq":0,"born":)" +
                           std::to_string(machine.instance->born() + entry.born_later_ms) + "}");
  }

  int Call(const MeshMachine& machine) {
    MeshRequest request;
    request.id = "q-" + std::to_string(++sent_);
    return fleet_.Call(machine, request).status;
  }

  // @return whether the machine serves, and goes on serving
  bool Serves(const MeshMachine& machine) {
    if (!Eventually([&] { return Call(machine) == 200; })) return false;
    for (int call = 0; call < 20; ++call) {
      if (Call(machine) != 200) return false;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
  }

  MeshFleet fleet_;
  int sent_ = 0;
};

// Guards against taking such an entry for the instance at its address, which then got no request
// for as long as the entry lay there.
TEST_P(ForeignServices, HidTheInstanceOfANodeThatRuns) {
  const MeshMachine& machine = fleet_.Add("desk");
  ASSERT_TRUE(fleet_.StartAll());
  ASSERT_TRUE(Serves(machine));
  Write(machine);
  std::this_thread::sleep_for(milliseconds(1500));
  EXPECT_TRUE(Serves(machine));
}

TEST_P(ForeignServices, HidTheInstanceOfANodeThatStarts) {
  const MeshMachine& machine = fleet_.Add("desk");
  Write(machine);
  ASSERT_TRUE(fleet_.StartAll());
  EXPECT_TRUE(Serves(machine));
}

// Guards against refusing what is on its way to an instance because of another entry, and against
// missing that the instance leaves since its own entry isn't looked at.
TEST_P(ForeignServices, HidThatTheInstanceLeaves) {
  const MeshMachine& machine = fleet_.Add("desk");
  ASSERT_TRUE(fleet_.StartAll());
  Write(machine);
  ASSERT_TRUE(Serves(machine));
  fleet_.List(machine, "draining");
  EXPECT_TRUE(Eventually([&] { return Call(machine) != 200; }));
}

INSTANTIATE_TEST_SUITE_P(Entries, ForeignServices, ::testing::ValuesIn(kEntries),
                         [](const auto& info) { return std::string(info.param.name); });

class NewService : public ::testing::Test {
 protected:
  int Call() {
    MeshRequest request;
    request.path = "/new/1";
    return fleet_.Call(*fleet_.machines()[0], request).status;
  }

  // Names the service `depot`, which has a route.
  void ConfigureDepot(std::uint64_t version) {
    std::string text = Configuration(version, ExtraRoute("new", "/new/", "depot"));
    const std::string services = R"("services":{)";
    text.insert(text.find(services) + services.size(),
                R"("depot":{"health_path":"/health","max_connections":130},)");
    fleet_.store().Put("op/config", text);
  }

  MeshFleet fleet_;
};

// Guards against an instance that stays unused because its entry came before the configuration that
// names its service, or because the configuration was taken back meanwhile.
TEST_F(NewService, IsServedWhenTheConfigurationNamesItAfterItsEntry) {
  fleet_.Configure(4);
  fleet_.Add("depot");
  ASSERT_TRUE(fleet_.StartAll());
  EXPECT_EQ(Call(), 404);
  ConfigureDepot(5);
  EXPECT_TRUE(Eventually([&] { return Call() == 200; }));
  fleet_.Configure(6);
  EXPECT_TRUE(Eventually([&] { return Call() == 404; }));
  ConfigureDepot(7);
  EXPECT_TRUE(Eventually([&] { return Call() == 200; }));
}

}  // namespace
}  // namespace copperlead::standin
