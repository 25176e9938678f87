// Samples and percentiles of one run.
#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"

namespace copperlead::simulation {

struct Percentiles {
  double p50 = 0;
  double p99 = 0;
  double max = 0;
};

// A set of durations. Not thread-safe.
class DurationSamples {
 public:
  void Add(Duration sample) { samples_.push_back(sample); }
  std::size_t count() const { return samples_.size(); }

  // @return percentiles by nearest rank, in milliseconds; zeros without samples.
  Percentiles InMilliseconds() const;

 private:
  std::vector<Duration> samples_;
};

}  // namespace copperlead::simulation
