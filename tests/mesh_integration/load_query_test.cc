// Instances are asked for their load before a request is sent there; what the answers can't do.
#include "mesh/load_query.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "tests/integration/process_harness.h"
#include "tests/mesh_integration/mesh_fleet.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr auto kLongWork = std::chrono::milliseconds(1000);
constexpr int kSlots = 6;  // Of each instance.

// Four machines with an instance of `desk`, one with `hub`, which takes the clients' requests.
class LoadQueries : public ::testing::Test {
 protected:
  void SetUp() override {
    fleet_.Configure(4);
    for (int desks = 0; desks < 4; ++desks) fleet_.Add("desk");
    fleet_.Add("hub");
    ASSERT_TRUE(fleet_.StartAll());
    for (int sent = 0; sent < 12; ++sent) EXPECT_EQ(Call(Hub()), 200);
  }

  MeshMachine& Hub() { return *fleet_.machines()[4]; }
  MeshMachine& Desk(int index) { return *fleet_.machines()[static_cast<std::size_t>(index)]; }

  int Call(const MeshMachine& machine, const std::string& path = "/look/1",
           const std::string& deadline = "2000", const std::string& method = "GET") {
    MeshRequest request;
    request.method = method;
    if (method == "POST") request.body = "b";
    request.path = path;
    request.id = "q-" + std::to_string(++sent_);
    request.deadline_ms = deadline;
    return fleet_.Call(machine, request).status;
  }

  // A request that runs once only, so that none is hedged.
  int Buy(const MeshMachine& machine) { return Call(machine, "/buy/1", "2000", "POST"); }
  std::size_t Runs(int desk) { return Desk(desk).instance->runs().size(); }

  // Sends a datagram to the port for load queries of every machine, from outside the fleet.
  void Forge(const std::string& datagram) {
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM, 0);
    for (const auto& machine : fleet_.machines()) {
      sockaddr_in to{};
      to.sin_family = AF_INET;
      to.sin_port = htons(fleet_.query_port());
      ::inet_pton(AF_INET, machine->ip.c_str(), &to.sin_addr);
      ::sendto(descriptor, datagram.data(), datagram.size(), 0,
               reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    }
    ::close(descriptor);
  }

  MeshFleet fleet_;
  std::atomic<int> sent_{0};
};

// An instance that answered slowly before it was out of use for a while: its node's estimate kept
// it out of use for as long as others were free.
TEST_F(LoadQueries, AnInstanceWhoseOnlyRunWasSlowIsUsedAgain) {
  MeshMachine& slow = fleet_.Add("desk");
  fleet_.Start(slow);
  ASSERT_TRUE(fleet_.AwaitReady(slow));
  const auto is_used = [&] {
    const std::size_t before = slow.instance->runs().size();
    EXPECT_EQ(Call(slow), 200);
    return slow.instance->runs().size() > before;
  };
  slow.instance->SetWork(milliseconds(20));
  EXPECT_TRUE(Eventually(is_used));
  fleet_.List(slow, "draining");
  // Sixty in a row: its node knows that it drains, and has learned the others' time.
  EXPECT_TRUE(Eventually([&] {
    int unused = 0;
    while (unused < 60 && !is_used()) ++unused;
    return unused == 60;
  }));
  slow.instance->SetWork(milliseconds(5));
  fleet_.List(slow);
  EXPECT_TRUE(Eventually(is_used));
}

TEST_F(LoadQueries, BusyInstancesAreLeftAloneByANodeThatHasSentThemNothing) {
  for (int desk = 0; desk < 3; ++desk) Desk(desk).instance->SetWork(kLongWork);
  // Desks 0 to 2 are busy by the requests of their own machines, of which the hub's node hears
  // nothing by itself.
  std::vector<std::thread> clients;
  for (int desk = 0; desk < 3; ++desk) {
    for (int client = 0; client < kSlots; ++client) {
      clients.emplace_back([this, desk] { Buy(Desk(desk)); });
    }
  }
  // Until they have reached the instances; all of them at once or, if one went to desk 3, nearly.
  std::this_thread::sleep_for(kLongWork / 4);
  const auto before = Runs(0) + Runs(1) + Runs(2);
  for (int sent = 0; sent < 8; ++sent) EXPECT_EQ(Buy(Hub()), 200);
  // A place that was left of those of the busy instances may be taken, a queue isn't.
  EXPECT_LE(Runs(0) + Runs(1) + Runs(2) - before, 1U);
  for (auto& client : clients) client.join();
}

TEST_F(LoadQueries, ABusyInstanceBesideANodeDoesNotKeepItFromOtherZones) {
  MeshFleet fleet;
  fleet.Configure(4);
  MeshMachine& own = fleet.Add("desk", "ank-a");
  MeshMachine& near = fleet.Add("desk", "ank-a");
  MeshMachine& far = fleet.Add("desk", "ank-b");
  ASSERT_TRUE(fleet.StartAll());
  for (MeshMachine* machine : {&own, &near}) machine->instance->SetWork(kLongWork);
  std::vector<std::thread> clients;
  std::atomic<int> number{0};
  const auto buy = [&](const MeshMachine& machine) {
    MeshRequest request;
    request.method = "POST";
    request.path = "/buy/1";
    request.body = "b";
    request.id = "b-" + std::to_string(++number);
    return fleet.Call(machine, request).status;
  };
  // So that it is known how long they take.
  for (MeshMachine* machine : {&own, &near}) EXPECT_EQ(buy(*machine), 200);
  for (MeshMachine* machine : {&own, &near}) {
    for (int client = 0; client < kSlots; ++client) {
      clients.emplace_back([&buy, machine] { buy(*machine); });
    }
  }
  std::this_thread::sleep_for(kLongWork / 4);
  const auto before = far.instance->runs().size();
  const auto began = std::chrono::steady_clock::now();
  for (int sent = 0; sent < 5; ++sent) EXPECT_EQ(buy(own), 200);
  EXPECT_LT(std::chrono::steady_clock::now() - began, kLongWork / 2);
  EXPECT_EQ(far.instance->runs().size() - before, 5U);
  for (auto& client : clients) client.join();
}

TEST_F(LoadQueries, AnInstanceThatLosesItsAnswersAtOnceDrawsFewRequests) {
  Desk(0).instance->SetFault({InstanceTrouble::kLost});
  // Of the machine beside it, too, for which it is nearest.
  int failed = 0;
  for (int sent = 0; sent < 30; ++sent) {
    failed += Buy(Desk(0)) == 200 ? 0 : 1;
    failed += Buy(Hub()) == 200 ? 0 : 1;
  }
  EXPECT_LE(failed, 6);
}

TEST_F(LoadQueries, ANodeThatIsFrozenCostsAFewMilliseconds) {
  const Paused first(*Desk(0).sidecar);
  const Paused second(*Desk(1).sidecar);
  const auto began = std::chrono::steady_clock::now();
  for (int sent = 0; sent < 20; ++sent) EXPECT_EQ(Call(Hub(), "/look/1", "400"), 200);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(2));
}

TEST_F(LoadQueries, ForgedAndStrayDatagramsStrandNothing) {
  for (int round = 0; round < 50; ++round) {
    for (const auto* id : {"i-1", "i-2", "i-3", "i-4"}) {
      mesh::LoadReply lie;
      lie.number = static_cast<std::uint64_t>(round);
      lie.instanceId = id;
      lie.cause = round % 2 == 0 ? mesh::HopCause::instanceLeaving : mesh::HopCause::queueFull;
      lie.load = 1000;
      Forge(mesh::encode(lie));
    }
    Forge("stray");
    EXPECT_EQ(Call(Hub()), 200);
  }
}

TEST_F(LoadQueries, ALeavingInstanceGetsNothingThoughItWasAskedBefore) {
  fleet_.List(Desk(0), "draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  const auto before = Desk(0).instance->runs().size();
  for (int sent = 0; sent < 20; ++sent) {
    EXPECT_EQ(Call(Hub()), 200);
    EXPECT_EQ(Call(Desk(0)), 200);
  }
  EXPECT_EQ(Desk(0).instance->runs().size(), before);
}

}  // namespace
}  // namespace copperlead::standin
