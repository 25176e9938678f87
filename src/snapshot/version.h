// Versions of the two documents that the fleet distributes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace copperlead {

// The documents. Each has its own order of versions and travels by itself.
enum class StreamKind : std::uint8_t {
  kConfiguration,  // The bundle: table, services and secrets.
  kMachines,       // The platform's list of live and leaving machines.
};
inline constexpr std::size_t kStreamCount = 2;

// Identity and order of one version of a document.
//
// For kConfiguration `major` is the source's revision and `minor` the resource epoch, which rises
// when secrets or service settings change under one revision. For kMachines `major` is the
// source's sequence and `minor` is 0. Versions are ordered by (major, minor); `content` only tells
// versions of equal order apart. The zero version stands for "none".
struct DocumentVersion {
  std::uint64_t major = 0;
  std::uint32_t minor = 0;
  std::uint64_t content = 0;  // First 8 bytes of the SHA-256 of the canonical content.

  bool operator==(const DocumentVersion&) const = default;
  bool none() const { return major == 0 && minor == 0 && content == 0; }
};

// True when `left` comes after `right`, whatever their content.
inline bool IsNewer(const DocumentVersion& left, const DocumentVersion& right) {
  if (left.major != right.major) return left.major > right.major;
  return left.minor > right.minor;
}

// True when the two have the same place in the order but not the same content.
inline bool IsConflict(const DocumentVersion& left, const DocumentVersion& right) {
  return left.major == right.major && left.minor == right.minor && left.content != right.content;
}

// @return "7", "7+2" with resource epoch 2; "none" for the zero version.
std::string ToString(const DocumentVersion& version);

}  // namespace copperlead
