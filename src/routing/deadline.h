// A caller's deadline. Pure.
#pragma once

#include <optional>

#include "base/time.h"

namespace copperlead {

// Fixed when the request starts; every attempt gets what is left of it.
class Deadline {
 public:
  Deadline() = default;
  // @param time_left nothing: the caller set no deadline.
  Deadline(Timestamp now, const std::optional<Duration>& time_left) {
    // A deadline past the clock's end is none.
    if (time_left && *time_left < Timestamp::max() - now) end_ = now + *time_left;
  }

  // @return true when no attempt may start any more.
  bool Over(Timestamp now) const { return end_ && now >= *end_; }

  // @return the time left, never negative; nothing without a deadline.
  std::optional<Duration> Left(Timestamp now) const {
    if (!end_) return std::nullopt;
    return now >= *end_ ? Duration{0} : *end_ - now;
  }

 private:
  std::optional<Timestamp> end_;
};

}  // namespace copperlead
