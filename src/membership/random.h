// Random choices that are reproducible: the same seed gives the same choices on every platform.
#pragma once

#include <cstddef>
#include <random>

#include "base/time.h"

namespace copperlead {

using RandomEngine = std::mt19937_64;

// @return a number in [0, bound), or 0 if bound is 0. The modulo bias is negligible for bounds far
//         below 2^64.
inline std::size_t RandomBelow(RandomEngine& random, std::size_t bound) {
  return bound == 0 ? 0 : static_cast<std::size_t>(random() % bound);
}

// @return a duration in [0, bound), or zero if bound is not positive.
inline Duration RandomDuration(RandomEngine& random, Duration bound) {
  const auto count = bound.count();
  if (count <= 0) return Duration::zero();
  return Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>(count)));
}

}  // namespace copperlead
