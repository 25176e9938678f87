#include "toolbox/load_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace copperlead {

std::size_t LoadHistogram::BucketOf(std::uint64_t microseconds) {
  constexpr std::uint64_t kLargest = (std::uint64_t{1} << kMaxBits) - 1;
  const std::uint64_t value = std::min(microseconds, kLargest);
  const int extra_bits = std::max(static_cast<int>(std::bit_width(value)) - kSubBucketBits - 1, 0);
  // The first two powers of two have buckets of 1 us; from there on each shift adds a group.
  const std::uint64_t position = value >> extra_bits;
  return (static_cast<std::size_t>(extra_bits) << kSubBucketBits) + position;
}

std::uint64_t LoadHistogram::UpperEndOf(std::size_t bucket) {
  constexpr std::size_t kGroup = std::size_t{1} << kSubBucketBits;
  if (bucket < 2 * kGroup) return bucket;
  const std::size_t extra_bits = bucket / kGroup - 1;
  const std::uint64_t position = bucket - extra_bits * kGroup;
  return ((position + 1) << extra_bits) - 1;
}

void LoadHistogram::Add(Duration value) {
  const auto microseconds = static_cast<std::uint64_t>(std::max<Duration::rep>(value.count(), 0));
  ++counts_[BucketOf(microseconds)];
  ++count_;
  max_ = std::max(max_, value);
}

void LoadHistogram::Merge(const LoadHistogram& other) {
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket)
    counts_[bucket] += other.counts_[bucket];
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
}

Duration LoadHistogram::Quantile(double share) const {
  const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_[bucket];
    if (seen >= wanted && seen > 0) {
      return std::min(Duration(static_cast<Duration::rep>(UpperEndOf(bucket))), max_);
    }
  }
  return Duration::zero();
}

}  // namespace copperlead
