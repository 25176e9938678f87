// A node's part of a fleet limit in requests in flight.
#pragma once

#include <cstddef>
#include <cstdint>

#include "routing/fleet_share.h"

namespace copperlead {

// The limit is divided evenly; what does not divide goes to the lowest ranks, one each, so the
// parts add up to the limit exactly. Where nodes outnumber the limit the higher ranks have no part:
// a part that wandered would be exceeded by requests that outlast its stay. Not thread-safe.
class InFlightLimiter {
 public:
  // @param limit of the fleet; 0: none.
  // @return true when the request may pass; Release() must follow when it ends.
  bool TryAcquire(std::uint32_t limit, const FleetShare& share);
  void Release();

  std::uint64_t in_flight() const { return in_flight_; }

 private:
  std::uint64_t in_flight_ = 0;
};

}  // namespace copperlead
