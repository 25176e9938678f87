// Measures how long nodes take to run what was published.
//
// A sample is the time from publication until a node runs that version or a newer one. For a node
// that was down, paused or cut off meanwhile it counts from when it was restored.
#pragma once

#include <cstdint>
#include <vector>

#include "simulation/measurements.h"
#include "simulation/topology.h"

namespace copperlead::simulation {

// Not thread-safe. One tracker per document.
class ConvergenceTracker {
 public:
  explicit ConvergenceTracker(std::size_t nodes) : restored_at_(nodes) {}

  void Published(Timestamp now, std::uint64_t major);
  // The node was started, woken or reconnected.
  void Restored(Timestamp now, NodeIndex node) { restored_at_[node] = now; }
  void Activated(Timestamp now, NodeIndex node, std::uint64_t major);

  // From publication, or restoration when later.
  const DurationSamples& samples() const { return samples_; }
  // From the first activation of the version anywhere, or restoration when later.
  const DurationSamples& spread() const { return spread_; }
  std::size_t published() const { return edits_.size(); }

 private:
  struct Edit {
    std::uint64_t major = 0;
    Timestamp published_at{};
    Timestamp first_at{};  // The epoch before the first activation.
    std::vector<bool> converged;
  };

  std::vector<Timestamp> restored_at_;
  std::vector<Edit> edits_;
  DurationSamples samples_;
  DurationSamples spread_;
};

}  // namespace copperlead::simulation
