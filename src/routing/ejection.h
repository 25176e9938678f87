// Passive ejection: a back end with repeated consecutive failures gets no requests for a while.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace copperlead {

// Counts the consecutive failures of one back end. Not thread-safe.
class FailureStreak {
 public:
  void RecordSuccess() { failures_ = 0; }
  void RecordFailure() { ++failures_; }
  std::uint32_t failures() const { return failures_; }

  void Eject(Timestamp until) {
    ejected_until_ = until;
    failures_ = 0;
  }
  // Ends a current ejection after a successful probe.
  void EndEjection(Timestamp now) { ejected_until_ = std::min(ejected_until_, now); }
  bool IsEjected(Timestamp now) const { return now < ejected_until_; }
  // @return the end of the last ejection; Timestamp::min() when there was none.
  Timestamp ejected_until() const { return ejected_until_; }

 private:
  std::uint32_t failures_ = 0;
  Timestamp ejected_until_ = Timestamp::min();
};

// Limits how many back ends of a site are ejected however many fail: failures of all of them can't
// be told from a fault of this node's own network.
// @param back_ends number of back ends of the site in this node's subset, without leaving ones.
// @param unavailable number of these that are already ejected, draining or unreachable.
// @param limit largest share of the back ends that may be unavailable.
// @return true when one more may be ejected; at least one always remains in use.
bool MayEject(std::size_t back_ends, std::size_t unavailable, double limit);

}  // namespace copperlead
