#include "tests/transport/allocation_counter.h"

#include <cstdlib>
#include <new>

namespace copperlead {

std::size_t& AllocatedBytes() {
  thread_local std::size_t bytes = 0;
  return bytes;
}

}  // namespace copperlead

void* operator new(std::size_t size) {
  copperlead::AllocatedBytes() += size;
  if (void* const memory = std::malloc(size)) return memory;
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }

void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
