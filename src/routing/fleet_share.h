// Division of a fleet-wide limit among nodes.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace copperlead {

// One node's share of the fleet limits.
struct FleetShare {
  std::size_t divisor = 1;  // At least 1.
  std::size_t rank = 0;     // Below divisor.
};

// The number by which fleet limits are divided. A partition can't be told from failed nodes, and
// the nodes on its other side continue to pass their parts of a limit. So the divisor rises at once
// with the number of live nodes, but decays only after that number has been lower for kHoldTime,
// and then slowly. Not thread-safe.
class FleetDivisor {
 public:
  static constexpr Duration kHoldTime = std::chrono::minutes(5);
  static constexpr double kDecayPerMinute = 0.1;  // Decrease as a share of the divisor.

  // @param live_nodes number of live nodes that this node knows of, itself included.
  void Observe(Timestamp now, std::size_t live_nodes);
  // @return the divisor, at least 1.
  std::size_t Value(Timestamp now);

 private:
  void Advance(Timestamp now);

  std::size_t live_nodes_ = 1;
  double divisor_ = 1;
  Timestamp last_advance_{};
  Timestamp decay_start_{};
};

}  // namespace copperlead
