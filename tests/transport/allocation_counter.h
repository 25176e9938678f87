// Counts what operator new gives out, for tests of bounded allocation.
#pragma once

#include <cstddef>

namespace copperlead {

// Bytes asked of operator new by the calling thread since it last set this to 0.
std::size_t& AllocatedBytes();

}  // namespace copperlead
