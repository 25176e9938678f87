// The deadline that a caller sets for its request.
#pragma once

#include <optional>

#include "base/time.h"

namespace copperlead {

// A point in time that is fixed when the request starts. Every attempt gets the remaining time.
class Deadline {
 public:
  Deadline() = default;
  // @param time_left time from `now` on; nothing when the caller set no deadline.
  Deadline(Timestamp now, const std::optional<Duration>& time_left) {
    // A deadline that the clock can't represent is treated as none.
    if (time_left && *time_left < Timestamp::max() - now) end_ = now + *time_left;
  }

  // @return true when no attempt may start any more.
  bool HasPassed(Timestamp now) const { return end_ && now >= *end_; }

  // @return the remaining time, never negative; nothing without a deadline.
  std::optional<Duration> TimeLeft(Timestamp now) const {
    if (!end_) return std::nullopt;
    return now >= *end_ ? Duration{0} : *end_ - now;
  }

 private:
  std::optional<Timestamp> end_;
};

}  // namespace copperlead
