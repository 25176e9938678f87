// Seeded random numbers for the simulator: the same seed gives the same numbers on every machine.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace copperlead::simulation {

// Purposes of random streams; each purpose and index has a stream of its own, so that a change in
// one part of the simulator does not shift the choices of another.
enum class RandomStream : std::uint64_t {
  kNetwork = 1,
  kSource,
  kScenario,
  kAgent,
  kContacts,
  kDocuments,
  kShell,
};

// @return a seed mixed from the run's seed, the purpose and an index (SplitMix64 finalizer).
std::uint64_t DeriveSeed(std::uint64_t seed, RandomStream stream, std::uint64_t index = 0);

// Not thread-safe.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // @return uniform in [0, limit); 0 for a limit of 0.
  std::uint64_t Below(std::uint64_t limit) { return limit == 0 ? 0 : engine_() % limit; }
  // @return uniform in [0, 1).
  double Fraction() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  // @return true with the given probability; draws no number when it is 0.
  bool Chance(double probability) { return probability > 0 && Fraction() < probability; }
  // @return uniform in [0, limit).
  Duration DurationBelow(Duration limit) {
    return Duration(static_cast<Duration::rep>(Below(static_cast<std::uint64_t>(limit.count()))));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace copperlead::simulation
