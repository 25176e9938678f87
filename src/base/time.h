// Time as the deciding code sees it. Deciding code never reads a clock: a `Timestamp` is handed to
// each step, so the same code runs in the daemon (steady clock) and in the simulator (virtual
// time).
#pragma once

#include <chrono>

namespace copperlead {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// A point on a monotonic time line. Its origin has no meaning; only differences do.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Source of monotonic time for the thin shells around deciding code. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Timestamp Now() const = 0;
};

// The operating system's steady clock.
class SteadyClock : public Clock {
 public:
  Timestamp Now() const override {
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  }
};

}  // namespace copperlead
