#include "routing/path_normalizer.h"

namespace copperlead {
namespace {

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
  return -1;
}

// The unreserved characters of RFC 3986 section 2.3.
bool IsUnreserved(char character) {
  if (character >= 'a' && character <= 'z') return true;
  if (character >= 'A' && character <= 'Z') return true;
  if (character >= '0' && character <= '9') return true;
  return character == '-' || character == '.' || character == '_' || character == '~';
}

bool IsForbiddenPlain(char character) {
  const auto code = static_cast<unsigned char>(character);
  if (code <= 0x20 || code >= 0x7f) return true;
  return character == '\\' || character == '?' || character == '#';
}

bool IsForbiddenEscape(int code) { return code == 0 || code == '/' || code == '\\'; }

void AppendEscape(int code, std::string& text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  text += '%';
  text += kDigits[code / 16];
  text += kDigits[code % 16];
}

// Decodes one segment and appends it to `text`. @return false when it must be refused.
bool AppendSegment(std::string_view segment, std::string& text) {
  for (std::size_t index = 0; index < segment.size(); ++index) {
    const char character = segment[index];
    if (character != '%') {
      if (IsForbiddenPlain(character)) return false;
      text += character;
      continue;
    }
    if (index + 2 >= segment.size()) return false;
    const int high = HexValue(segment[index + 1]);
    const int low = HexValue(segment[index + 2]);
    if (high < 0 || low < 0) return false;
    const int code = high * 16 + low;
    if (IsForbiddenEscape(code)) return false;
    if (IsUnreserved(static_cast<char>(code))) {
      text += static_cast<char>(code);
    } else {
      AppendEscape(code, text);
    }
    index += 2;
  }
  return true;
}

bool IsDotSegmentWithParameters(std::string_view segment) {
  return segment.starts_with(".;") || segment.starts_with("..;") || segment.starts_with(".%3B") ||
         segment.starts_with("..%3B");
}

}  // namespace

bool NormalizePath(std::string_view path, std::string& normalized) {
  normalized.clear();
  if (path.empty() || path.front() != '/') return false;
  normalized.reserve(path.size());
  // Invariant: `normalized` ends right before the '/' of the next segment; empty is the root.
  bool trailing_slash = true;
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::string_view raw = path.substr(0, path.find('/'));
    path.remove_prefix(raw.size());
    const std::size_t start = normalized.size();
    normalized += '/';
    if (!AppendSegment(raw, normalized)) return false;
    const std::string_view segment = std::string_view(normalized).substr(start + 1);
    if (IsDotSegmentWithParameters(segment)) return false;
    const bool is_parent = segment == "..";
    trailing_slash = segment.empty() || segment == "." || is_parent;
    if (!trailing_slash) continue;
    normalized.resize(start);
    if (!is_parent) continue;
    if (normalized.empty()) return false;
    normalized.resize(normalized.rfind('/'));
  }
  if (trailing_slash) normalized += '/';
  return true;
}

}  // namespace copperlead
