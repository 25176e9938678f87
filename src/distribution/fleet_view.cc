#include "distribution/fleet_view.h"

#include "distribution/reader_election.h"

namespace copperlead {

void FleetView::Refresh(Timestamp now) {
  const std::uint64_t version = membership_.EligibilityVersion();
  if (built_ && version == eligibility_version_) return;
  built_ = true;
  eligibility_version_ = version;
  changed_at_ = now;

  std::map<ZoneName, std::vector<const MemberRecord*>> by_zone;
  const std::vector<MemberRecord> eligible = membership_.Eligible();
  for (const MemberRecord& member : eligible) {
    by_zone[member.zone].push_back(&member);
  }
  const MemberRecord& self = membership_.self();
  readers_.clear();
  zone_index_ = 0;
  own_rank_ = 0;
  first_in_zone_.clear();
  for (const auto& [zone, members] : by_zone) {
    readers_[zone] = ElectReaders(zone, members, kStandbyRank + 1);
    if (zone < self.zone) ++zone_index_;
    if (zone != self.zone) continue;
    own_rank_ = ReaderRank(zone, members, self.id);
    first_in_zone_ = ElectReaders(zone, members, kPollingRanks);
  }
}

std::size_t FleetView::StableRank(Timestamp now) {
  const auto leaving = [&](const NodeId& id) {
    const auto found = membership_.members().find(id);
    return found != membership_.members().end() &&
           found->second.record.state == MemberState::kLeaving;
  };
  return leading_members_.StableRank(now, membership_.self(), own_rank_, first_in_zone_, leaving);
}

}  // namespace copperlead
