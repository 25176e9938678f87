#include "toolbox/activation_log.h"

#include <algorithm>

namespace copperlead {
namespace {

Duration Percentile(const std::vector<Timestamp>& sorted, std::size_t percent) {
  const std::size_t index = (sorted.size() - 1) * percent / 100;
  return sorted[index] - sorted.front();
}

}  // namespace

void ActivationLog::Begin() {
  const std::lock_guard lock(mutex_);
  begun_ = true;
  activations_.clear();
}

void ActivationLog::Add(const DocumentVersion& version, Timestamp when) {
  const std::lock_guard lock(mutex_);
  if (begun_) activations_[{version.major, version.minor}].push_back(when);
}

std::vector<VersionSpread> ActivationLog::Spreads() const {
  const std::lock_guard lock(mutex_);
  std::vector<VersionSpread> spreads;
  for (const auto& [key, activations] : activations_) {
    std::vector<Timestamp> sorted = activations;
    std::sort(sorted.begin(), sorted.end());
    VersionSpread spread;
    spread.revision = key.first;
    spread.resource_epoch = key.second;
    spread.nodes = sorted.size();
    spread.first = sorted.front();
    spread.median = Percentile(sorted, 50);
    spread.p99 = Percentile(sorted, 99);
    spread.last = Percentile(sorted, 100);
    spreads.push_back(spread);
  }
  return spreads;
}

}  // namespace copperlead
