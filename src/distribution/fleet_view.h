// What the deciding code derives from the member list: zones, ranks, the own zone's members.
// Rebuilt only when the list changed, since it costs O(n log n).
#pragma once

#include <map>
#include <vector>

#include "base/time.h"
#include "membership/membership.h"

namespace copperlead {

class FleetView {
 public:
  explicit FleetView(const Membership& membership) : membership_(membership) {}

  // Rebuilds the view when membership changed since. Cheap otherwise.
  void Refresh(Timestamp now);

  // Eligible members by zone, ranked: the reader first.
  const std::map<ZoneName, std::vector<MemberRecord>>& ranked_by_zone() const { return ranked_; }
  // Eligible members of the own zone, ranked; this node among them unless it leaves.
  const std::vector<MemberRecord>& own_zone() const;
  // Rank of this node in its zone; the zone's size when it is not eligible.
  std::size_t own_rank() const { return own_rank_; }
  // Place of the own zone among the zones in order of name, for spreading polls over time.
  std::size_t zone_index() const { return zone_index_; }
  std::size_t zone_count() const { return ranked_.empty() ? 1 : ranked_.size(); }
  Timestamp changed_at() const { return changed_at_; }

 private:
  const Membership& membership_;
  bool built_ = false;
  std::uint64_t membership_hash_ = 0;
  std::size_t live_count_ = 0;
  std::map<ZoneName, std::vector<MemberRecord>> ranked_;
  std::size_t own_rank_ = 0;
  std::size_t zone_index_ = 0;
  Timestamp changed_at_{};
};

}  // namespace copperlead
