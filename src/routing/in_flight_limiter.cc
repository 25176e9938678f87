#include "routing/in_flight_limiter.h"

namespace copperlead {

bool InFlightLimiter::TryAcquire(std::uint32_t limit, const FleetShare& share) {
  if (limit != 0) {
    const std::uint64_t extra = share.rank < limit % share.divisor ? 1 : 0;
    if (in_flight_ >= limit / share.divisor + extra) return false;
  }
  ++in_flight_;
  return true;
}

void InFlightLimiter::Release() {
  if (in_flight_ > 0) --in_flight_;
}

}  // namespace copperlead
