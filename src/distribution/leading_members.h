// Remembers the members that recently ranked first in a zone, so that a false report of their death
// does not give this node a role.
//
// After a partition heals, each node receives for a while reports that many members of its own zone
// are dead, until these have refuted them. If a node took over from a reader on each such report,
// dozens of nodes would read the source at once.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "base/time.h"
#include "membership/member.h"

namespace copperlead {

// Covers one zone. Not thread-safe.
class LeadingMembers {
 public:
  // @param retention how long a member that is believed dead still counts.
  explicit LeadingMembers(Duration retention) : retention_(retention) {}

  // Records the current view and returns the rank to act on.
  // @param self this node, a member of the zone.
  // @param rank its rank in the view.
  // @param first the first kPollingRanks members in the view.
  // @param leaving whether a member has announced that it leaves, so that it no longer counts.
  // @return the number of members that rank ahead of this one, now or within the retention time.
  //         Ranks from kPollingRanks on are returned unchanged.
  std::size_t StableRank(Timestamp now, const MemberRecord& self, std::size_t rank,
                         const std::vector<MemberRecord>& first,
                         const std::function<bool(const NodeId&)>& leaving);

 private:
  Duration retention_;
  std::map<NodeId, Timestamp> last_seen_;  // Time when each was last among the first.
};

}  // namespace copperlead
