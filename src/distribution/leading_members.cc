#include "distribution/leading_members.h"

#include <algorithm>

#include "distribution/reader_election.h"

namespace copperlead {

std::size_t LeadingMembers::StableRank(Timestamp now, const MemberRecord& self, std::size_t rank,
                                       const std::vector<MemberRecord>& first,
                                       const std::function<bool(const NodeId&)>& leaving) {
  for (const MemberRecord& member : first) last_seen_[member.id] = now;
  std::erase_if(last_seen_, [&](const auto& entry) {
    return now - entry.second >= retention_ || leaving(entry.first);
  });
  // Not all members ahead of this one are among the first in this case, but such a rank has no
  // role.
  if (rank >= kPollingRanks) return rank;
  const auto ahead = std::count_if(last_seen_.begin(), last_seen_.end(), [&](const auto& entry) {
    return entry.first != self.id && RanksAhead(self.zone, entry.first, self.id);
  });
  return static_cast<std::size_t>(ahead);
}

}  // namespace copperlead
