// State of one back end as observed by this node's own requests. It is kept across snapshots.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/backoff.h"
#include "routing/ejection.h"
#include "routing/leaving_evidence.h"
#include "routing/load_report.h"
#include "routing/routing_snapshot.h"

namespace copperlead {

// Guarded by the RouterCore's mutex.
struct EndpointState {
  std::uint32_t in_flight = 0;  // This node's attempts in flight at the back end.
  // Whether the newest snapshot lists it as live. Sessions that started with an older snapshot read
  // it here, too.
  bool listed_live = true;
  // Time when it started to get requests; Timestamp::min() when it was among the first back ends of
  // its service that this node saw.
  Timestamp first_seen = Timestamp::min();
  // Earliest time of the next probe, while the back end is unavailable.
  Timestamp next_probe = Timestamp::min();
  LoadReport load;
  FailureStreak failures;
  LeavingEvidence leaving;
  Backoff shedding{Milliseconds(50), Milliseconds(1000)};
};

// A back end of a snapshot together with its state.
struct EndpointSlot {
  const Endpoint* endpoint = nullptr;  // Owned by the snapshot.
  std::shared_ptr<EndpointState> state;
};

// @return true unless the back end is leaving, by the list or by this node's evidence. Ejection and
//         load are not considered.
inline bool AcceptsNewWork(const EndpointState& state, Timestamp now) {
  return state.listed_live && !state.leaving.IsLeaving(now);
}

}  // namespace copperlead
