// A node's part of a fleet limit in requests a second.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "routing/fleet_share.h"

namespace copperlead {

// The limit's tokens are numbered through: second s has tokens s * limit to (s + 1) * limit - 1,
// and token t belongs to the node of rank t mod divisor. So the parts of all ranks add up to the
// limit exactly, whatever it is, and 1 a second over 1,000 nodes goes to each node in turn.
//
// Unused tokens lapse, else an idle fleet would save up one token a node: with a limit of 1 a
// second, 1,000 at once. Where each node has at least one token a second they lapse with the
// second; where it has fewer they last kTokenLife, so that rare requests find one. In any time T
// the fleet passes at most limit * (T + 1 s), or limit * (T + kTokenLife) where nodes outnumber the
// limit; over a long time at most the limit. Clocks of nodes need not agree for this.
// Not thread-safe.
class RateLimiter {
 public:
  static constexpr std::int64_t kTokenLifeSeconds = 10;

  // @param limit of the fleet in requests a second; 0: none.
  // @return true, and the token is spent, when the request may pass.
  bool TryTake(Timestamp now, std::uint32_t limit, const FleetShare& share);

 private:
  std::int64_t second_ = -1;        // Of the last request that passed.
  std::uint64_t taken_ = 0;         // Tokens spent in second_.
  std::int64_t token_second_ = -1;  // Of the last spent token, where nodes outnumber the limit.
};

}  // namespace copperlead
