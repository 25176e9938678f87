// What the deciding code derives from the member list: each zone's readers and this node's rank.
// Rebuilt only when eligibility changed, since that looks at every member.
#pragma once

#include <map>
#include <vector>

#include "base/time.h"
#include "distribution/leading_members.h"
#include "membership/membership.h"

namespace copperlead {

class FleetView {
 public:
  // @param leader_memory how long members believed dead still count in LastingRank.
  FleetView(const Membership& membership, Duration leader_memory)
      : membership_(membership), leading_members_(leader_memory) {}

  // Rebuilds the view when membership changed since. Cheap otherwise.
  void Refresh(Timestamp now);

  // Reader and standby of each zone that has an eligible member.
  const std::map<ZoneName, std::vector<MemberRecord>>& readers() const { return readers_; }
  // Rank of this node in its zone; the zone's size when it is not eligible.
  std::size_t own_rank() const { return own_rank_; }
  // Rank of this node in its zone among the present members and those that were ahead of it lately
  // and did not leave. Call after Refresh.
  std::size_t LastingRank(Timestamp now);
  // Place of the own zone among the zones in order of name, for spreading polls over time.
  std::size_t zone_index() const { return zone_index_; }
  std::size_t zone_count() const { return readers_.empty() ? 1 : readers_.size(); }
  // When Refresh last found another fleet than before.
  Timestamp changed_at() const { return changed_at_; }

 private:
  const Membership& membership_;
  bool built_ = false;
  std::uint64_t eligibility_version_ = 0;
  std::map<ZoneName, std::vector<MemberRecord>> readers_;
  std::vector<MemberRecord> first_in_zone_;  // The first kPollingRanks.
  LeadingMembers leading_members_;
  std::size_t own_rank_ = 0;
  std::size_t zone_index_ = 0;
  Timestamp changed_at_{};
};

}  // namespace copperlead
