#include "proxy/http_message.h"

#include <algorithm>
#include <charconv>

namespace copperlead {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr std::size_t kMaxDigits = 18;
constexpr std::uint64_t kMinStatus = 100, kMaxStatus = 599;  // RFC 9110, section 15.

char ToLower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
}

bool IsAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (ToLower(c) >= 'a' && ToLower(c) <= 'z');
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return IsAlphanumeric(c) || kMarks.find(c) != std::string_view::npos;
  });
}

bool IsVisible(char c) { return c > ' ' && c < '\x7f'; }

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  const auto last = text.find_last_not_of(" \t");
  return text.substr(first, last - first + 1);
}

// Removes the next line from `text` and returns it without its line end.
std::string_view TakeLine(std::string_view& text) {
  const auto end = text.find(kLineEnd);
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + kLineEnd.size());
  return line;
}

bool ParseVersion(std::string_view text, int& minor_version) {
  if (text != "HTTP/1.1" && text != "HTTP/1.0") return false;
  minor_version = text.back() - '0';
  return true;
}

bool ParseField(std::string_view line, HeaderFields& fields, std::string& fault) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    fault = "malformed header line";
    return false;
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (!IsFieldValue(value)) {
    fault = "control character in a header value";
    return false;
  }
  fields.push_back({std::string(line.substr(0, colon)), std::string(value)});
  return true;
}

bool ParseFields(std::string_view text, HeaderFields& fields, std::string& fault) {
  for (;;) {
    const std::string_view line = TakeLine(text);
    if (line.empty()) return true;
    if (!ParseField(line, fields, fault)) return false;
  }
}

// Sets the framing from the Content-Length of a message; `values` must not be empty.
bool ParseContentLength(const std::vector<std::string_view>& values, BodyFraming& framing,
                        std::string& fault) {
  if (values.size() > 1) {
    fault = "several Content-Length headers";
    return false;
  }
  if (!ParseWholeNumber(values[0], framing.length)) {
    fault = "malformed Content-Length";
    return false;
  }
  framing.kind = framing.length == 0 ? BodyKind::kNone : BodyKind::kLength;
  return true;
}

bool CheckChunked(const std::vector<std::string_view>& encodings, bool has_length,
                  int minor_version, std::string& fault) {
  if (has_length) {
    fault = "both Content-Length and Transfer-Encoding";
  } else if (minor_version == 0) {
    fault = "Transfer-Encoding in HTTP/1.0";
  } else if (encodings.size() != 1 || !EqualsIgnoringCase(encodings[0], "chunked")) {
    fault = "a Transfer-Encoding other than chunked";
  }
  return fault.empty();
}

}  // namespace

bool IsFieldValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && byte != 0x7f);
  });
}

bool IsFieldLine(std::string_view line) {
  HeaderFields fields;
  std::string fault;
  return ParseField(line, fields, fault);
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

std::vector<std::string_view> ValuesOf(const HeaderFields& fields, std::string_view name) {
  std::vector<std::string_view> values;
  for (const auto& field : fields) {
    if (EqualsIgnoringCase(field.name, name)) values.emplace_back(field.value);
  }
  return values;
}

std::vector<std::string_view> ListOf(const HeaderFields& fields, std::string_view name) {
  std::vector<std::string_view> elements;
  for (std::string_view rest : ValuesOf(fields, name)) {
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      const std::string_view element = Trim(rest.substr(0, comma));
      if (!element.empty()) elements.push_back(element);
      rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
  }
  return elements;
}

bool ListContains(const HeaderFields& fields, std::string_view name, std::string_view token) {
  const auto elements = ListOf(fields, name);
  return std::any_of(elements.begin(), elements.end(),
                     [&](std::string_view element) { return EqualsIgnoringCase(element, token); });
}

bool ParseWholeNumber(std::string_view text, std::uint64_t& number) {
  if (text.empty() || text.size() > kMaxDigits) return false;
  const char* const end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, number);
  return code == std::errc() && stop == end;
}

std::size_t FindHeadEnd(std::string_view bytes) {
  const auto end = bytes.find(kHeadEnd);
  return end == std::string_view::npos ? 0 : end + kHeadEnd.size();
}

bool HasBareLineFeed(std::string_view bytes) {
  for (auto at = bytes.find('\n'); at != std::string_view::npos; at = bytes.find('\n', at + 1)) {
    if (at == 0 || bytes[at - 1] != '\r') return true;
  }
  return false;
}

bool ParseRequestHead(std::string_view text, RequestHead& head, std::string& fault) {
  const std::string_view line = TakeLine(text);
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    fault = "malformed request line";
    return false;
  }
  head.method = line.substr(0, first);
  head.target = line.substr(first + 1, last - first - 1);
  const bool visible = std::all_of(head.target.begin(), head.target.end(), IsVisible);
  if (!IsToken(head.method) || head.target.empty() || !visible ||
      !ParseVersion(line.substr(last + 1), head.minor_version)) {
    fault = "malformed request line";
    return false;
  }
  return ParseFields(text, head.fields, fault);
}

bool ParseResponseHead(std::string_view text, ResponseHead& head, std::string& fault) {
  constexpr std::size_t kVersionLength = kVersionStart.size() + 1;
  constexpr std::size_t kStatusLength = 3;
  const std::string_view line = TakeLine(text);
  std::uint64_t status = 0;
  fault = "malformed status line";
  if (line.size() < kVersionLength + 1 + kStatusLength || line[kVersionLength] != ' ') return false;
  if (!ParseVersion(line.substr(0, kVersionLength), head.minor_version)) return false;
  if (!ParseWholeNumber(line.substr(kVersionLength + 1, kStatusLength), status)) return false;
  if (status < kMinStatus || status > kMaxStatus) return false;
  const std::string_view rest = line.substr(kVersionLength + 1 + kStatusLength);
  if (!rest.empty() && rest[0] != ' ') return false;
  head.status = static_cast<int>(status);
  head.reason = rest.empty() ? rest : rest.substr(1);
  if (!IsFieldValue(head.reason)) return false;
  fault.clear();
  return ParseFields(text, head.fields, fault);
}

bool FindRequestFraming(const RequestHead& head, BodyFraming& framing, std::string& fault) {
  const auto lengths = ValuesOf(head.fields, "Content-Length");
  framing = {};
  if (!ValuesOf(head.fields, "Transfer-Encoding").empty()) {
    framing.kind = BodyKind::kChunked;
    return CheckChunked(ListOf(head.fields, "Transfer-Encoding"), !lengths.empty(),
                        head.minor_version, fault);
  }
  if (lengths.empty()) return true;
  return ParseContentLength(lengths, framing, fault);
}

bool FindResponseFraming(const ResponseHead& head, bool answers_head_request, BodyFraming& framing,
                         std::string& fault) {
  const auto lengths = ValuesOf(head.fields, "Content-Length");
  const bool chunked = !ValuesOf(head.fields, "Transfer-Encoding").empty();
  framing = {};
  if (answers_head_request || head.status < 200 || head.status == 204 || head.status == 304) {
    return true;
  }
  if (chunked) {
    framing.kind = BodyKind::kChunked;
    return CheckChunked(ListOf(head.fields, "Transfer-Encoding"), !lengths.empty(),
                        head.minor_version, fault);
  }
  if (lengths.empty()) {
    framing.kind = BodyKind::kUntilClose;
    return true;
  }
  return ParseContentLength(lengths, framing, fault);
}

namespace {

// @return false when no further bytes can make `bytes`, the start of a head, a valid one.
bool MayBecomeResponseHead(std::string_view bytes, std::string& fault) {
  const std::string_view start = bytes.substr(0, kVersionStart.size());
  if (start != kVersionStart.substr(0, start.size())) {
    fault = "no HTTP response";
    return false;
  }
  if (HasBareLineFeed(bytes)) {
    fault = "a bare line feed";
    return false;
  }
  const auto last_line_end = bytes.rfind(kLineEnd);
  ResponseHead complete_lines;
  return last_line_end == std::string_view::npos ||
         ParseResponseHead(bytes.substr(0, last_line_end), complete_lines, fault);
}

}  // namespace

NextResponseHead ParseNextResponseHead(std::string_view bytes, bool answers_head_request) {
  NextResponseHead next;
  next.size = FindHeadEnd(bytes);
  const bool is_complete = next.size != 0;
  const bool is_valid =
      is_complete
          ? ParseResponseHead(bytes.substr(0, next.size), next.head, next.fault) &&
                FindResponseFraming(next.head, answers_head_request, next.framing, next.fault)
          : MayBecomeResponseHead(bytes, next.fault);
  if (!is_valid) {
    next.status = HeadStatus::kMalformed;
  } else if (is_complete) {
    next.status = HeadStatus::kComplete;
  }
  return next;
}

}  // namespace copperlead
