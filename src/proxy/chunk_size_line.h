// The line before a chunk's data: the chunk's size in hexadecimal, formatted without an allocation.
#pragma once

#include <array>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>

namespace copperlead {

class ChunkSizeLine {
 public:
  explicit ChunkSizeLine(std::size_t bytes) {
    constexpr int kHexadecimal = 16;
    char* const start = buffer_.data();
    char* end = std::to_chars(start, start + buffer_.size() - 2, bytes, kHexadecimal).ptr;
    *end++ = '\r';
    *end++ = '\n';
    size_ = static_cast<std::size_t>(end - start);
  }

  std::string_view view() const { return {buffer_.data(), size_}; }
  std::string text() const { return std::string(view()); }

 private:
  std::array<char, 2 * sizeof(std::size_t) + 2> buffer_{};
  std::size_t size_ = 0;
};

}  // namespace copperlead
