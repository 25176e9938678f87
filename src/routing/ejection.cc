#include "routing/ejection.h"

namespace copperlead {

bool MayEject(std::size_t back_ends, std::size_t out, double limit) {
  if (out + 1 >= back_ends) return false;
  return static_cast<double>(out + 1) <= limit * static_cast<double>(back_ends);
}

}  // namespace copperlead
