// What another process on this machine uses, as /proc tells it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace copperlead {

struct ProcessUsage {
  double cpu_seconds = 0;            // User and system time since its start.
  std::uint64_t resident_bytes = 0;  // Now.
  std::uint64_t peak_bytes = 0;      // Largest resident size since its start.
  std::uint64_t threads = 0;
};

// @return nothing when there is no such process.
std::optional<ProcessUsage> ReadProcessUsage(int pid);

}  // namespace copperlead
