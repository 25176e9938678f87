// Counts the bytes allocated by operator new, for tests of allocation limits.
#pragma once

#include <cstddef>

namespace copperlead {

// @return a counter of the bytes that the calling thread has requested from operator new. Tests set
//         it to 0 before they run the code under test.
std::size_t& AllocatedBytes();

}  // namespace copperlead
