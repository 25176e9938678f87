#include "routing/fleet_share.h"

#include <algorithm>
#include <cmath>

namespace copperlead {

void FleetDivisor::Observe(Timestamp now, std::size_t live_nodes) {
  Advance(now);
  live_nodes_ = std::max<std::size_t>(1, live_nodes);
  Advance(now);
}

std::size_t FleetDivisor::Value(Timestamp now) {
  Advance(now);
  return static_cast<std::size_t>(std::ceil(divisor_));
}

void FleetDivisor::Advance(Timestamp now) {
  const auto live_nodes = static_cast<double>(live_nodes_);
  if (live_nodes >= divisor_) {
    divisor_ = live_nodes;
    decay_start_ = now + kHoldTime;
    last_advance_ = now;
    return;
  }
  const Timestamp start = std::max(decay_start_, last_advance_);
  if (now <= start) return;
  const std::chrono::duration<double, std::ratio<60>> minutes = now - start;
  divisor_ = std::max(live_nodes, divisor_ * std::pow(1 - kDecayPerMinute, minutes.count()));
  last_advance_ = now;
}

}  // namespace copperlead
