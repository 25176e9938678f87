#include "routing/ejection.h"

namespace copperlead {

bool MayEject(std::size_t back_ends, std::size_t unavailable, double limit) {
  if (unavailable + 1 >= back_ends) return false;
  return static_cast<double>(unavailable + 1) <= limit * static_cast<double>(back_ends);
}

}  // namespace copperlead
