// A histogram of durations with bounded memory and a bounded relative error.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace copperlead {

// Counts durations of 0 to 2^36 us (19 hours; longer ones count as that) with an error of at most
// 1/64 of the value. Not thread-safe.
class LoadHistogram {
 public:
  void Add(Duration value);
  void Merge(const LoadHistogram& other);

  std::uint64_t count() const { return count_; }
  Duration max() const { return max_; }
  // @param share 0 to 1, e.g. 0.99.
  // @return the smallest counted value that at least `share` of all values do not exceed, rounded
  //         up within the error; 0 when nothing was counted.
  Duration Quantile(double share) const;

 private:
  static constexpr int kSubBucketBits = 6;  // 64 equal buckets in each power of two.
  static constexpr int kMaxBits = 36;
  static constexpr std::size_t kBuckets = std::size_t{kMaxBits - kSubBucketBits + 1}
                                          << kSubBucketBits;

  static std::size_t BucketOf(std::uint64_t microseconds);
  static std::uint64_t UpperEndOf(std::size_t bucket);

  std::array<std::uint64_t, kBuckets> counts_{};
  std::uint64_t count_ = 0;
  Duration max_{};
};

}  // namespace copperlead
