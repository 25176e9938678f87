#include "simulation/random.h"

namespace copperlead::simulation {
namespace {

std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

std::uint64_t DeriveSeed(std::uint64_t seed, RandomStream stream, std::uint64_t index) {
  return Mix(Mix(Mix(seed) ^ static_cast<std::uint64_t>(stream)) ^ index);
}

}  // namespace copperlead::simulation
