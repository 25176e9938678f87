// A false report of a member's death does not change the ranks; a member's own announcement that it
// leaves does.
#include "distribution/leading_members.h"

#include <gtest/gtest.h>

#include "distribution/reader_election.h"

namespace copperlead {
namespace {

constexpr Timestamp kStart{std::chrono::seconds(1000)};

Timestamp At(int second) { return kStart + std::chrono::seconds(second); }

class LeadingMembersTest : public ::testing::Test {
 protected:
  LeadingMembersTest() {
    std::vector<MemberRecord> members(6);
    std::vector<const MemberRecord*> pointers;
    for (std::size_t number = 0; number < members.size(); ++number) {
      members[number].id = "node-" + std::to_string(number);
      members[number].zone = "ank-a";
      pointers.push_back(&members[number]);
    }
    ranking_ = ElectReaders("ank-a", pointers, members.size());
  }

  // Stable rank of the last member of the ranking while the first `dead` are believed dead.
  std::size_t RankWithDead(Timestamp now, std::size_t dead) {
    const std::vector<MemberRecord> alive(ranking_.begin() + static_cast<std::ptrdiff_t>(dead),
                                          ranking_.end());
    const std::size_t first = std::min(alive.size(), kPollingRanks);
    return leading_.StableRank(now, ranking_.back(), alive.size() - 1,
                               {alive.begin(), alive.begin() + static_cast<std::ptrdiff_t>(first)},
                               [&](const NodeId& id) { return id == leaving_; });
  }

  std::vector<MemberRecord> ranking_;
  LeadingMembers leading_{std::chrono::seconds(10)};
  NodeId leaving_;
};

TEST_F(LeadingMembersTest, DeadMembersCountUntilTheRetentionTimeEnds) {
  EXPECT_EQ(RankWithDead(At(0), 0), 5U);
  EXPECT_GE(RankWithDead(At(1), 5), kPollingRanks);  // All others are reported dead.
  EXPECT_GE(RankWithDead(At(9), 5), kPollingRanks);
  EXPECT_EQ(RankWithDead(At(10), 5), 0U);
  EXPECT_EQ(RankWithDead(At(11), 0), 5U);  // A lower rank applies at once.
}

TEST_F(LeadingMembersTest, ALeavingMemberNoLongerCounts) {
  EXPECT_EQ(RankWithDead(At(0), 3), 2U);
  leaving_ = ranking_[3].id;
  EXPECT_EQ(RankWithDead(At(1), 4), 1U);
  leaving_.clear();  // From now on it counts as dead, not as leaving.
  EXPECT_EQ(RankWithDead(At(2), 4), 1U);
}

}  // namespace
}  // namespace copperlead
