// Versions of the two documents that the fleet distributes.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace copperlead {

// The kinds of document. Each is versioned and distributed independently of the other.
enum class StreamKind : std::uint8_t {
  kConfiguration,  // The bundle: table, services and secrets.
  kMachines,       // The platform's list of live and leaving machines.
};
inline constexpr std::size_t kStreamCount = 2;

// The identity of a version of a document, and its position in the order of versions.
//
// For kConfiguration `major` is the source's revision and `minor` the resource epoch, which
// increases when secrets or service settings change within a revision. For kMachines `major` is the
// source's sequence and `minor` is 0. Versions are ordered by (major, minor); `content`
// distinguishes versions with the same position in that order. The zero version means "none".
struct DocumentVersion {
  std::uint64_t major = 0;
  std::uint32_t minor = 0;
  std::uint64_t content_hash = 0;  // First 8 bytes of the SHA-256 of the canonical content.

  bool operator==(const DocumentVersion&) const = default;
  bool none() const { return major == 0 && minor == 0 && content_hash == 0; }
};

// @return true when `left` comes after `right` in the order of versions, regardless of content.
inline bool IsNewer(const DocumentVersion& left, const DocumentVersion& right) {
  if (left.major != right.major) return left.major > right.major;
  return left.minor > right.minor;
}

// @return true when both have the same position in the order of versions but different content.
inline bool IsConflict(const DocumentVersion& left, const DocumentVersion& right) {
  return left.major == right.major && left.minor == right.minor &&
         left.content_hash != right.content_hash;
}

// @return the major version, such as "7"; with a minor version other than 0, such as "7+2"; or
//         "none" for the zero version.
std::string ToString(const DocumentVersion& version);

}  // namespace copperlead
