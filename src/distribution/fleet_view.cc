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
  for (const auto& [zone, members] : by_zone) {
    readers_[zone] = ElectReaders(zone, members, kStandbyRank + 1);
    if (zone < self.zone) ++zone_index_;
    if (zone == self.zone) own_rank_ = ReaderRank(zone, members, self.id);
  }
}

}  // namespace copperlead
