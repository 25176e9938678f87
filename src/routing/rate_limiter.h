// Enforces a node's part of a fleet-wide limit of requests per second.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "routing/fleet_share.h"

namespace copperlead {

// Tokens are numbered consecutively: second s has the tokens s * limit to (s + 1) * limit - 1, and
// token t belongs to the node of rank t mod divisor. So the parts of all ranks add up to the limit
// exactly, whatever it is; a limit of 1 per second over 1,000 nodes goes to each node in turn.
//
// Unused tokens expire. Otherwise an idle fleet would accumulate one token per node: 1,000 at once
// with a limit of 1 per second and 1,000 nodes. Where each node has at least one token per second,
// tokens expire with their second. Where nodes outnumber the limit, they expire after
// kTokenLifetimeSeconds, so that rare requests find one. In any period T the fleet passes at most
// limit * (T + 1 s), or limit * (T + kTokenLifetimeSeconds) where nodes outnumber the limit; over a
// long period at most the limit. This doesn't require synchronized clocks.
// Not thread-safe.
class RateLimiter {
 public:
  static constexpr std::int64_t kTokenLifetimeSeconds = 10;

  // @param limit fleet-wide limit in requests per second; 0: no limit.
  // @return true, having spent a token, when the request may pass.
  bool TryAcquire(Timestamp now, std::uint32_t limit, const FleetShare& share);

 private:
  // Second of the last request that passed, where each node has a token every second.
  std::int64_t second_ = -1;
  std::uint64_t spent_ = 0;  // Tokens spent in second_.
  // Second of the last spent token, where nodes outnumber the limit.
  std::int64_t token_second_ = -1;
};

}  // namespace copperlead
