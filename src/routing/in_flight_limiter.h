// Enforces a node's part of a fleet-wide limit of requests in flight.
#pragma once

#include <cstddef>
#include <cstdint>

#include "routing/fleet_share.h"

namespace copperlead {

// The limit is divided evenly and the remainder goes to the lowest ranks, one each, so that the
// parts add up to the limit exactly. Where nodes outnumber the limit, the higher ranks have no
// part: if a part moved from node to node, requests that are still running when it moves on would
// exceed the limit. Not thread-safe.
class InFlightLimiter {
 public:
  // @param limit fleet-wide limit; 0: no limit.
  // @return true when the request may pass; Release() must follow when it ends.
  bool TryAcquire(std::uint32_t limit, const FleetShare& share);
  void Release();

  std::uint64_t in_flight() const { return in_flight_; }

 private:
  std::uint64_t in_flight_ = 0;
};

}  // namespace copperlead
