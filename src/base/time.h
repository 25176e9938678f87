// Time as the deciding code sees it. Deciding code never reads a clock: a `Timestamp` is handed to
// each step, so the same code runs in the daemon (steady clock) and in the simulator (virtual
// time).
#pragma once

#include <time.h>

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

// Reads one of the operating system's clocks, since the machine's start.
inline Duration ReadClock(clockid_t clock) {
  timespec read{};
  clock_gettime(clock, &read);
  return std::chrono::seconds(read.tv_sec) +
         std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(read.tv_nsec));
}

// A steady clock that counts the time for which the machine was suspended, too: what a node was
// told before must not look fresh after it. (std::chrono::steady_clock stands still meanwhile.)
class SteadyClock : public Clock {
 public:
  Timestamp Now() const override { return Timestamp(ReadClock(CLOCK_BOOTTIME)); }
};

// For how long the machine has been suspended since its start.
inline Duration SuspendedTime() { return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC); }

}  // namespace copperlead
