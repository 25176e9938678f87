#include "simulation/convergence.h"

#include <algorithm>

namespace copperlead::simulation {

void ConvergenceTracker::Published(Timestamp now, std::uint64_t major) {
  edits_.push_back(Edit{major, now, Timestamp{}, std::vector<bool>(restored_at_.size())});
}

void ConvergenceTracker::Activated(Timestamp now, NodeIndex node, std::uint64_t major) {
  for (Edit& edit : edits_) {
    if (edit.major > major || edit.converged[node]) continue;
    if (edit.first_at == Timestamp{}) edit.first_at = now;
    edit.converged[node] = true;
    samples_.Add(now - std::max(edit.published_at, restored_at_[node]));
    spread_.Add(now - std::max(edit.first_at, restored_at_[node]));
  }
}

}  // namespace copperlead::simulation
