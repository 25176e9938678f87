// What the tests' fleet of sidecars relies on.
#include "tests/mesh_integration/mesh_fleet.h"

#include <gtest/gtest.h>

#include <fstream>

namespace copperlead::standin {
namespace {

TEST(MeshFleetTest, ItsPortsAreNotAmongThoseThatTheSystemGivesOut) {
  int first = 0;
  int last = 0;
  std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> first >> last;
  ASSERT_GT(last, first);
  MeshFleet fleet;
  const MeshMachine& machine = fleet.Add("desk");
  for (const int port : {int{fleet.outbound(machine).port}, int{fleet.metrics_port()}}) {
    EXPECT_TRUE(port < first || port > last) << port;
  }
}

}  // namespace
}  // namespace copperlead::standin
