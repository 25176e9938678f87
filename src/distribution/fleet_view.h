// The view that an Agent derives from the member list: the readers of each zone and the rank of
// this node. It is rebuilt only when eligibility changes, because that visits every member.
#pragma once

#include <map>
#include <vector>

#include "base/time.h"
#include "distribution/leading_members.h"
#include "membership/membership.h"

namespace copperlead {

class FleetView {
 public:
  // @param leader_retention how long members believed dead still count in StableRank.
  FleetView(const Membership& membership, Duration leader_retention)
      : membership_(membership), leading_members_(leader_retention) {}

  // Rebuilds the view if eligibility has changed since the last call. Cheap otherwise.
  void Refresh(Timestamp now);

  // Reader and standby of each zone that has an eligible member.
  const std::map<ZoneName, std::vector<MemberRecord>>& readers() const { return readers_; }
  // Rank of this node in its zone; the zone's size when it is not eligible.
  std::size_t own_rank() const { return own_rank_; }
  // Rank of this node in its zone among the current members and those that recently ranked ahead of
  // it and have not left. Call after Refresh.
  std::size_t StableRank(Timestamp now);
  // Index of this node's zone among the zones ordered by name, used to spread polls over time.
  std::size_t zone_index() const { return zone_index_; }
  std::size_t zone_count() const { return readers_.empty() ? 1 : readers_.size(); }
  // Time when Refresh last rebuilt the view.
  Timestamp changed_at() const { return changed_at_; }

 private:
  const Membership& membership_;
  bool built_ = false;
  std::uint64_t eligibility_version_ = 0;
  std::map<ZoneName, std::vector<MemberRecord>> readers_;
  std::vector<MemberRecord> first_in_zone_;  // First kPollingRanks members of this node's zone.
  LeadingMembers leading_members_;
  std::size_t own_rank_ = 0;
  std::size_t zone_index_ = 0;
  Timestamp changed_at_{};
};

}  // namespace copperlead
