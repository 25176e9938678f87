#include "table/cell.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

#include "table/csv.h"

namespace copperlead {
namespace {

constexpr std::size_t kMaxQuotedLength = 60;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDeleteCharacter = 0x7f;

unsigned char ByteAt(std::string_view text, std::size_t index) {
  return static_cast<unsigned char>(text[index]);
}

bool IsControl(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return byte < kFirstPrintable || byte == kDeleteCharacter;
}

// @return the length of the well-formed UTF-8 sequence that starts at `index`, or 0 if there is
// none.
std::size_t Utf8SequenceLength(std::string_view text, std::size_t index) {
  const unsigned char lead = ByteAt(text, index);
  if (lead < 0x80) return 1;
  if (lead < 0xc2 || lead > 0xf4) return 0;
  const std::size_t length = lead < 0xe0 ? 2 : lead < 0xf0 ? 3 : 4;
  if (text.size() - index < length) return 0;
  for (std::size_t offset = 1; offset < length; ++offset) {
    if ((ByteAt(text, index + offset) & 0xc0) != 0x80) return 0;
  }
  const unsigned char second = ByteAt(text, index + 1);
  if (lead == 0xe0 && second < 0xa0) return 0;   // Overlong form.
  if (lead == 0xed && second >= 0xa0) return 0;  // Surrogate code point.
  if (lead == 0xf0 && second < 0x90) return 0;   // Overlong form.
  if (lead == 0xf4 && second >= 0x90) return 0;  // Code point above U+10FFFF.
  return length;
}

CellFault BadRoute(std::string_view text, std::string_view reason) {
  return {ErrorKind::kBadRoute, "route " + Quote(text) + " " + std::string(reason)};
}

std::optional<CellFault> CheckSegments(std::string_view route) {
  std::size_t begin = 1;
  while (begin <= route.size()) {
    const std::size_t end = std::min(route.find('/', begin), route.size());
    const auto segment = route.substr(begin, end - begin);
    if (segment.empty() && end == route.size()) return BadRoute(route, "must not end with '/'");
    if (segment.empty()) return BadRoute(route, "must not hold '//'");
    if (segment == "." || segment == "..") {
      return BadRoute(route, "must not hold a '.' or '..' segment");
    }
    begin = end + 1;
  }
  return std::nullopt;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  std::size_t index = 0;
  while (index < text.size()) {
    const std::size_t length = Utf8SequenceLength(text, index);
    if (length == 0) return false;
    index += length;
  }
  return true;
}

std::string Quote(std::string_view text) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char character : text.substr(0, kMaxQuotedLength)) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte >= kFirstPrintable && byte < kDeleteCharacter) {
      quoted += character;
      continue;
    }
    quoted += "\\x";
    quoted += kDigits[byte >> 4];
    quoted += kDigits[byte & 0xf];
  }
  if (text.size() > kMaxQuotedLength) quoted += "...";
  return quoted + "\"";
}

std::optional<CellFault> CheckEncoding(std::string_view text) {
  if (text.find('\0') != std::string_view::npos) {
    return CellFault{ErrorKind::kBadEncoding, Quote(text) + " holds a NUL byte"};
  }
  if (!IsUtf8(text)) {
    return CellFault{ErrorKind::kBadEncoding,
                     Quote(text) + " is not UTF-8; save the file as UTF-8"};
  }
  return std::nullopt;
}

std::optional<CellFault> CheckName(std::string_view what, std::string_view text) {
  if (text.empty()) return CellFault{ErrorKind::kBadValue, std::string(what) + " is empty"};
  if (text.size() > kMaxNameLength) {
    return CellFault{ErrorKind::kBadValue,
                     std::string(what) + " " + Quote(text) + " is " + std::to_string(text.size()) +
                         " bytes long, at most " + std::to_string(kMaxNameLength) + " are allowed"};
  }
  if (std::ranges::any_of(text, IsControl)) {
    return CellFault{ErrorKind::kBadValue,
                     std::string(what) + " " + Quote(text) + " holds a control character"};
  }
  return std::nullopt;
}

std::optional<CellFault> CheckRoute(std::string_view text) {
  if (text.empty())
    return CellFault{ErrorKind::kBadRoute, "route is empty; \"/\" matches all paths"};
  if (text.size() > kMaxRouteLength) {
    return BadRoute(text, "is longer than " + std::to_string(kMaxRouteLength) + " bytes");
  }
  if (text.front() != '/') return BadRoute(text, "must start with '/'");
  if (text.find_first_of("?#%") != std::string_view::npos) {
    return BadRoute(text, "must not hold '?', '#' or '%'");
  }
  if (std::ranges::any_of(text, IsControl)) return BadRoute(text, "holds a control character");
  const bool has_invalid_character = std::ranges::any_of(text, [](char character) {
    return character == ' ' || character == '\\' ||
           static_cast<unsigned char>(character) > kDeleteCharacter;
  });
  if (has_invalid_character) {
    return BadRoute(text, "holds a space, '\\' or non-ASCII character, which no request path has");
  }
  if (text == "/") return std::nullopt;
  return CheckSegments(text);
}

std::optional<CellFault> ReadNumber(std::string_view text, std::uint32_t minimum,
                                    std::uint32_t maximum, std::uint32_t& value) {
  const bool digits_only = !text.empty() && std::ranges::all_of(text, [](char character) {
    return character >= '0' && character <= '9';
  });
  if (!digits_only) {
    return CellFault{ErrorKind::kBadNumber,
                     Quote(text) +
                         " is not a whole number; use digits only, without sign, space "
                         "or decimal point"};
  }
  std::uint32_t number = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (code != std::errc() || number < minimum || number > maximum) {
    return CellFault{ErrorKind::kOutOfRange, Quote(text) + " must be " + std::to_string(minimum) +
                                                 " to " + std::to_string(maximum)};
  }
  value = number;
  return std::nullopt;
}

std::optional<CellFault> ReadRepeatable(std::string_view text, Repeatable& value) {
  for (const auto candidate : {Repeatable::kByMethod, Repeatable::kYes, Repeatable::kNo}) {
    if (text == Name(candidate)) {
      value = candidate;
      return std::nullopt;
    }
  }
  return CellFault{ErrorKind::kBadValue, Quote(text) + " must be yes, no or by-method"};
}

std::string_view Name(Repeatable value) {
  switch (value) {
    case Repeatable::kYes:
      return "yes";
    case Repeatable::kNo:
      return "no";
    case Repeatable::kByMethod:
      break;
  }
  return "by-method";
}

}  // namespace copperlead
