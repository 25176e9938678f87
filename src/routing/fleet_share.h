// This node's part of a limit that belongs to the whole fleet.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace copperlead {

// A node's place in the division of fleet limits.
struct FleetShare {
  std::size_t divisor = 1;  // At least 1.
  std::size_t rank = 0;     // Below divisor.
};

// By how many a fleet limit is divided. A partition looks like deaths: the nodes on the other side
// go on passing their parts. So the divisor rises at once with the view, but falls only after the
// view was smaller for a while, and then slowly. Not thread-safe.
class FleetDivisor {
 public:
  static constexpr Duration kHold = std::chrono::minutes(5);
  static constexpr double kFallPerMinute = 0.1;  // Share of the divisor.

  // @param live_nodes that this node knows of, itself included.
  void Observe(Timestamp now, std::size_t live_nodes);
  // @return the divisor, at least 1.
  std::size_t Value(Timestamp now);

 private:
  void Advance(Timestamp now);

  std::size_t live_nodes_ = 1;
  double divisor_ = 1;
  Timestamp advanced_to_{};
  Timestamp falls_from_{};
};

}  // namespace copperlead
