// Exponential backoff: a waiting time that doubles with each consecutive trigger.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace copperlead {

// Not thread-safe.
class Backoff {
 public:
  // @param initial waiting time after the first trigger; each further one doubles it, up to
  //        `maximum`.
  Backoff(Duration initial, Duration maximum)
      : initial_(initial), maximum_(maximum), next_(initial) {}

  // Starts the next waiting time. Triggers while one is active are ignored: they are the same event
  // seen by several requests.
  void Trigger(Timestamp now) {
    if (IsActive(now)) return;
    end_ = now + next_;
    next_ = std::min(next_ * 2, maximum_);
  }
  // Ends the waiting time; the next trigger starts with the initial one.
  void Reset() {
    end_ = Timestamp::min();
    next_ = initial_;
  }
  // @return true until the current waiting time has passed.
  bool IsActive(Timestamp now) const { return now < end_; }
  // @return the end of the last waiting time; Timestamp::min() before the first trigger and after a
  //         reset.
  Timestamp end() const { return end_; }

 private:
  Duration initial_;
  Duration maximum_;
  Duration next_;
  Timestamp end_ = Timestamp::min();
};

}  // namespace copperlead
