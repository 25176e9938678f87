// Time types and clocks. Decision logic never reads a clock; each step receives a `Timestamp` as a
// parameter, so the same code runs in the daemon (steady clock) and in the simulator (virtual
// time).
#pragma once

#include <time.h>

#include <chrono>

namespace copperlead {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// A point in monotonic time. The origin is arbitrary; only differences are meaningful.
using Timestamp = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A source of monotonic time for the code that calls the decision logic. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Timestamp Now() const = 0;
};

// @return the current time of one of the operating system's clocks, such as CLOCK_BOOTTIME.
inline Duration ReadClock(clockid_t clock) {
  timespec read{};
  clock_gettime(clock, &read);
  return std::chrono::seconds(read.tv_sec) +
         std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(read.tv_nsec));
}

// A steady clock that includes the time for which the machine was suspended, so that information
// received before a suspension does not appear recent after it. std::chrono::steady_clock does not
// advance during a suspension.
class SteadyClock : public Clock {
 public:
  Timestamp Now() const override { return Timestamp(ReadClock(CLOCK_BOOTTIME)); }
};

// @return the total time for which the machine has been suspended since it booted.
inline Duration SuspendedTime() { return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC); }

}  // namespace copperlead
