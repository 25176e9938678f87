// Reader election and push tree, which are pure functions of a member list.
#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>

#include "distribution/push_tree.h"
#include "distribution/reader_election.h"

namespace copperlead {
namespace {

std::vector<MemberRecord> Members(std::size_t count) {
  std::vector<MemberRecord> members;
  for (std::size_t number = 0; number < count; ++number) {
    MemberRecord member;
    member.id = "node-" + std::to_string(number);
    member.zone = "ank-a";
    members.push_back(member);
  }
  return members;
}

std::vector<const MemberRecord*> PointersTo(const std::vector<MemberRecord>& members) {
  std::vector<const MemberRecord*> pointers;
  pointers.reserve(members.size());
  for (const MemberRecord& member : members) pointers.push_back(&member);
  return pointers;
}

TEST(ReaderElectionTest, DependsOnMembersOnlyAndMovesToTheStandby) {
  std::vector<MemberRecord> members = Members(50);
  const auto ranked = ElectReaders("ank-a", PointersTo(members), members.size());
  std::reverse(members.begin(), members.end());
  EXPECT_EQ(ElectReaders("ank-a", PointersTo(members), 50), ranked);
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    EXPECT_EQ(ReaderRank("ank-a", PointersTo(members), ranked[rank].id), rank);
  }
  EXPECT_EQ(ReaderRank("ank-a", PointersTo(members), "stranger"), members.size());

  std::erase(members, ranked[kReaderRank]);
  const auto after = ElectReaders("ank-a", PointersTo(members), 1);
  EXPECT_EQ(after.front(), ranked[kStandbyRank]);
}

// Returns the sorted indices of the members that a push from the member at `start` reaches.
std::vector<std::size_t> Reached(const PushTree& tree, std::size_t start) {
  std::vector<std::size_t> reached = tree.TopLevel();
  for (const std::size_t child : tree.ChildrenOf(start)) reached.push_back(child);
  for (std::size_t next = 0; next < reached.size(); ++next) {
    if (reached[next] == start) continue;  // Its children were pushed at the start.
    for (const std::size_t child : tree.ChildrenOf(reached[next])) reached.push_back(child);
  }
  std::sort(reached.begin(), reached.end());
  return reached;
}

TEST(PushTreeTest, ReachesEveryMemberOnceWhoeverStarts) {
  for (const std::size_t count : {1U, 2U, 9U, 10U, 200U}) {
    for (const std::size_t fan_out : {1U, 4U, 8U}) {
      const PushTree tree({7, 0, 1}, fan_out, Members(count));
      std::vector<std::size_t> all(count);
      std::iota(all.begin(), all.end(), 0);
      for (const std::size_t start : all) EXPECT_EQ(Reached(tree, start), all);
    }
  }
}

TEST(PushTreeTest, InnerNodesChangeWithTheVersion) {
  const PushTree seven({7, 0, 1}, 4, Members(20));
  const PushTree eight({8, 0, 1}, 4, Members(20));
  EXPECT_NE(seven.order(), eight.order());
  EXPECT_EQ(seven.IndexOf("stranger"), std::nullopt);
}

}  // namespace
}  // namespace copperlead
