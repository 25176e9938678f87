// More changes at the store than an answer to a watch may hold.
#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>

#include "tests/mesh_integration/mesh_fleet.h"

namespace copperlead::standin {
namespace {

using std::chrono::milliseconds;

constexpr auto kBound = milliseconds(2000);
constexpr int kIdleRoutes = 1600, kVersions = 24;

// Guards against asking for the same changes again and again once they are too many for an answer:
// the node ran an old configuration until the store forgot its history.
TEST(LargeChanges, KeptANodeOnAnOldConfiguration) {
  MeshFleet fleet;
  std::string idle;
  for (int route = 0; route < kIdleRoutes; ++route) {
    const std::string number = std::to_string(route);
    idle += ExtraRoute("idle" + number, "/idle/" + number + "/", "hub");
  }
  fleet.Configure(4, idle);
  MeshMachine& machine = fleet.Add("desk");
  ASSERT_TRUE(fleet.StartAll());

  machine.sidecar->Signal(SIGSTOP);
  for (int version = 5; version < 5 + kVersions; ++version) fleet.Configure(version, idle);
  fleet.Configure(5 + kVersions, idle + ExtraRoute("new", "/new/", "desk"));
  machine.sidecar->Signal(SIGCONT);

  const auto until = std::chrono::steady_clock::now() + kBound;
  MeshRequest request;
  request.path = "/new/1";
  int status = 0;
  for (int sent = 0; status != 200 && std::chrono::steady_clock::now() < until; ++sent) {
    request.id = "q-" + std::to_string(sent);
    status = fleet.Call(machine, request).status;
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_EQ(status, 200);
}

}  // namespace
}  // namespace copperlead::standin
