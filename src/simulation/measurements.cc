#include "simulation/measurements.h"

#include <algorithm>

namespace copperlead::simulation {
namespace {

// The smallest sample with at least `percent` of all at or below it.
double NearestRank(const std::vector<Duration>& sorted, std::size_t percent) {
  const std::size_t rank = (sorted.size() * percent + 99) / 100;
  const Duration sample = sorted[std::max<std::size_t>(rank, 1) - 1];
  return static_cast<double>(sample.count()) / 1000.0;
}

}  // namespace

Percentiles DurationSamples::InMilliseconds() const {
  if (samples_.empty()) return {};
  std::vector<Duration> sorted = samples_;
  std::sort(sorted.begin(), sorted.end());
  return {NearestRank(sorted, 50), NearestRank(sorted, 99), NearestRank(sorted, 100)};
}

}  // namespace copperlead::simulation
