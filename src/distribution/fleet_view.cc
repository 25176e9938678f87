#include "distribution/fleet_view.h"

#include <utility>

#include "distribution/reader_election.h"

namespace copperlead {

void FleetView::Refresh(Timestamp now) {
  const std::uint64_t hash = membership_.Summary().membership_hash;
  const std::size_t live_count = membership_.LiveCount();
  if (built_ && hash == membership_hash_ && live_count == live_count_) return;
  built_ = true;
  membership_hash_ = hash;
  live_count_ = live_count;
  changed_at_ = now;

  std::map<ZoneName, std::vector<MemberRecord>> by_zone;
  for (MemberRecord& member : membership_.Eligible()) {
    by_zone[member.zone].push_back(std::move(member));
  }
  ranked_.clear();
  for (auto& [zone, members] : by_zone) ranked_[zone] = RankReaders(zone, std::move(members));

  const MemberRecord& self = membership_.self();
  const std::vector<MemberRecord>& own = own_zone();
  own_rank_ = own.size();
  for (std::size_t rank = 0; rank < own.size(); ++rank) {
    if (own[rank].id == self.id) own_rank_ = rank;
  }
  zone_index_ = 0;
  for (const auto& [zone, members] : ranked_) {
    if (zone < self.zone) ++zone_index_;
  }
}

const std::vector<MemberRecord>& FleetView::own_zone() const {
  static const std::vector<MemberRecord> kNobody;
  const auto found = ranked_.find(membership_.self().zone);
  return found == ranked_.end() ? kNobody : found->second;
}

}  // namespace copperlead
