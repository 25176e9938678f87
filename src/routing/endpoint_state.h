// What this node knows of one back end from its own requests. It outlives snapshots.
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
  std::uint32_t in_flight = 0;  // This node's attempts on it.
  // The newest snapshot lists it as live; sessions that began under an older one see it here.
  bool listed_live = true;
  // When it began to get requests; Timestamp::min(): before this node began to look.
  Timestamp first_seen = Timestamp::min();
  // A back end out of use gets one request to find out no sooner than this.
  Timestamp next_probe = Timestamp::min();
  LoadReport load;
  FailureStreak failures;
  LeavingEvidence leaving;
  Backoff shedding{Milliseconds(50), Milliseconds(1000)};
};

// A back end of a snapshot with its state.
struct EndpointSlot {
  const Endpoint* endpoint = nullptr;  // Of the snapshot.
  std::shared_ptr<EndpointState> state;
};

// @return true when new work may go to it, as far as leaving goes.
inline bool MayGetNewWork(const EndpointState& state, Timestamp now) {
  return state.listed_live && !state.leaving.Leaving(now);
}

}  // namespace copperlead
