// Remembers who ranked first in a zone lately, so that a rumour of death gives nobody a role.
//
// When a cut heals, each node hears for a while that many members of its own zone are dead, until
// they have refuted it. A node that took a reader's place by each such rumour would make dozens
// of nodes read the source at once.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "base/time.h"
#include "membership/member.h"

namespace copperlead {

// Not thread-safe. Of one zone.
class LeadingMembers {
 public:
  // @param memory how long a member that is believed dead still counts.
  explicit LeadingMembers(Duration memory) : memory_(memory) {}

  // Takes the present view, and gives the rank to act by.
  // @param self this node, in the zone.
  // @param rank its rank by the view.
  // @param first the first kPollingRanks members by the view.
  // @param leaving whether a member said itself that it leaves: it no longer counts.
  // @return the number of members ahead of this one, now or lately.
  std::size_t LastingRank(Timestamp now, const MemberRecord& self, std::size_t rank,
                          const std::vector<MemberRecord>& first,
                          const std::function<bool(const NodeId&)>& leaving);

 private:
  Duration memory_;
  std::map<NodeId, Timestamp> last_seen_;  // When each was last among the first.
};

}  // namespace copperlead
