// Passive ejection: a back end that keeps failing gets nothing for a while.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace copperlead {

// One back end's failures in a row. Not thread-safe.
class FailureStreak {
 public:
  void RecordSuccess() { failures_ = 0; }
  void RecordFailure() { ++failures_; }
  std::uint32_t failures() const { return failures_; }

  void Eject(Timestamp until) {
    ejected_until_ = until;
    failures_ = 0;
  }
  // A probe succeeded.
  void EndEjection(Timestamp now) { ejected_until_ = std::min(ejected_until_, now); }
  bool Ejected(Timestamp now) const { return now < ejected_until_; }
  // The end of the last ejection; Timestamp::min() when there was none.
  Timestamp ejected_until() const { return ejected_until_; }

 private:
  std::uint32_t failures_ = 0;
  Timestamp ejected_until_ = Timestamp::min();
};

// The floor: however many fail, most of a site stays in use, since failures of all look the same
// as a fault of this node's own network.
// @param back_ends of the site in this node's subset, leaving ones not counted.
// @param out of these, ejected or unreachable already.
// @param limit largest share of the back ends that may be out.
// @return true when one more may be ejected; at least one always stays.
bool MayEject(std::size_t back_ends, std::size_t out, double limit);

}  // namespace copperlead
