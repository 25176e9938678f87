// Seeded random numbers for the agent. They are the same on every platform, unlike those of the
// standard distributions.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace copperlead {

// SplitMix64. Not thread-safe and not suitable for cryptography.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = state_;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
  }

  // @param limit at least 1. @return a number in [0, limit).
  std::uint64_t Below(std::uint64_t limit) { return Next() % limit; }

  // @return a duration in [0, limit]; zero for a limit that is not positive.
  Duration UpTo(Duration limit) {
    if (limit <= Duration::zero()) return Duration::zero();
    return Duration(
        static_cast<std::int64_t>(Below(static_cast<std::uint64_t>(limit.count()) + 1)));
  }

 private:
  std::uint64_t state_;
};

}  // namespace copperlead
