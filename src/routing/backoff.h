// A time that doubles with each strike in a row.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace copperlead {

// Not thread-safe.
class Backoff {
 public:
  // @param first time after one strike; doubles with each further one up to `longest`.
  Backoff(Duration first, Duration longest) : first_(first), longest_(longest), next_(first) {}

  // Strikes during a running time are the same event seen by several requests and count once.
  void Strike(Timestamp now) {
    if (Running(now)) return;
    until_ = now + next_;
    next_ = std::min(next_ * 2, longest_);
  }
  void Clear() {
    until_ = Timestamp::min();
    next_ = first_;
  }
  bool Running(Timestamp now) const { return now < until_; }
  // The end of the last time; Timestamp::min() when there was none or it was cleared.
  Timestamp until() const { return until_; }

 private:
  Duration first_;
  Duration longest_;
  Duration next_;
  Timestamp until_ = Timestamp::min();
};

}  // namespace copperlead
