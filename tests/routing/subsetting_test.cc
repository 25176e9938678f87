#include "routing/subsetting.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "tests/routing/fleet.h"

namespace copperlead {
namespace {

// Usage of one site by the whole fleet.
struct FleetUsage {
  std::vector<std::size_t> connections;  // Connections that all nodes keep open, by back end.
  std::size_t min_members = SIZE_MAX;
};

FleetUsage ComputeUsage(SubsetShape shape) {
  FleetUsage use;
  use.connections.resize(shape.back_ends);
  for (shape.node_rank = 0; shape.node_rank < shape.live_nodes; ++shape.node_rank) {
    const auto members = ChooseSubset(shape, "permit-desk/old");
    std::set<std::size_t> distinct;
    for (const SubsetMember& member : members) {
      use.connections[member.index] += member.connection_share;
      distinct.insert(member.index);
    }
    EXPECT_EQ(distinct.size(), members.size()) << "rank " << shape.node_rank;
    use.min_members = std::min(use.min_members, members.size());
  }
  return use;
}

struct SubsetCase {
  std::size_t nodes;
  std::size_t back_ends;
  std::size_t min_connections;  // Connections of the least used back end, at least.
};

TEST(SubsettingTest, ConnectionsStayWithinTheLimitAndSpreadEvenly) {
  constexpr SubsetCase kCases[] = {
      {1, 7, 6},     {4, 7, 24},    {16, 7, 96},    {50, 7, 50},   {97, 12, 97},
      {98, 12, 0},   {200, 12, 80}, {300, 12, 72},  {500, 12, 82}, {1000, 12, 83},
      {1000, 7, 96}, {1000, 5, 96}, {3000, 12, 96}, {1000, 1, 97}, {10, 1, 60},
  };
  for (const SubsetCase& row : kCases) {
    const FleetUsage use = ComputeUsage({row.back_ends, row.nodes, 0, 130, 6});
    const auto [least, most] = std::minmax_element(use.connections.begin(), use.connections.end());
    EXPECT_LE(*most, 98U) << row.nodes << " nodes, " << row.back_ends << " back ends";
    EXPECT_GE(*least, row.min_connections)
        << row.nodes << " nodes, " << row.back_ends << " back ends";
    EXPECT_GE(use.min_members, std::min<std::size_t>(3, row.back_ends));
  }
}

TEST(SubsettingTest, SmallFleetsUseAllBackEnds) {
  for (const std::size_t nodes : {1U, 3U, 16U}) {
    EXPECT_EQ(ComputeUsage({12, nodes, 0, 130, 6}).min_members, 12U);
  }
}

// When a back end fails, the nodes that kept connections to it move to all others evenly.
TEST(SubsettingTest, TheLoadOfAFailedBackEndSpreadsEvenly) {
  SubsetShape shape{12, 1000, 0, 130, 6};
  std::vector<std::size_t> next_choices(shape.back_ends);
  for (; shape.node_rank < shape.live_nodes; ++shape.node_rank) {
    const auto members = ChooseSubset(shape, "permit-desk/old");
    ASSERT_GE(members.size(), 2U);
    if (members[0].index == 0) ++next_choices[members[1].index];
  }
  EXPECT_EQ(next_choices[0], 0U);
  for (std::size_t index = 1; index < next_choices.size(); ++index) {
    EXPECT_GE(next_choices[index], 7U) << index;
    EXPECT_LE(next_choices[index], 8U) << index;
  }
}

TEST(SubsettingTest, SnapshotsHoldTheSubsetAndEveryLeavingBackEnd) {
  MachineList list = routing_test::MakeMachines(12);
  list.machines[0].state = MachineState::kLeaving;
  FleetShape fleet;
  fleet.live_nodes = 1000;
  fleet.node_rank = 17;
  const auto snapshot = routing_test::MakeSnapshot({routing_test::MakeRow()}, list, fleet);
  const auto& site = snapshot->services.at("permit-desk").old_site;
  ASSERT_EQ(site.size(), 4U);
  EXPECT_EQ(site[0].connection_share, 1U);
  EXPECT_EQ(site[1].connection_share, 0U);
  EXPECT_TRUE(site[3].leaving);
  EXPECT_EQ(site[3].id, "old-100");
}

}  // namespace
}  // namespace copperlead
