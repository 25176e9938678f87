// Heads of HTTP/1.1 messages (RFC 9112), read strictly: what two parsers could read differently is
// refused. cpp-httplib's own parser percent-decodes header values (so "%0d%0a" becomes a line
// break), drops empty ones, and takes Content-Length beside Transfer-Encoding; a proxy may do none
// of that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace copperlead {

struct HeaderField {
  std::string name;
  std::string value;
};
// In the order received.
using HeaderFields = std::vector<HeaderField>;

struct RequestHead {
  std::string method;
  std::string target;
  int minor_version = 1;  // Of HTTP/1.
  HeaderFields fields;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  int minor_version = 1;
  HeaderFields fields;
};

enum class BodyKind : std::uint8_t { kNone, kLength, kChunked, kUntilClose };

// How the end of a body is known.
struct BodyFraming {
  BodyKind kind = BodyKind::kNone;
  std::uint64_t length = 0;  // In bytes, for kLength.
};

// Compares header names and tokens, ignoring the case of ASCII letters.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// @return the values of every field called `name`, in order.
std::vector<std::string_view> ValuesOf(const HeaderFields& fields, std::string_view name);

// @return the elements of a comma-separated list over all fields called `name`, trimmed.
std::vector<std::string_view> ListOf(const HeaderFields& fields, std::string_view name);

// @return true when the list `name` holds `token`.
bool ListHolds(const HeaderFields& fields, std::string_view name, std::string_view token);

// Reads digits only, at most 18 of them.
bool ParseWholeNumber(std::string_view text, std::uint64_t& number);

// @return the size of the head at the start of `bytes`, its empty line included; 0 when it is not
//         there whole.
std::size_t FindHeadEnd(std::string_view bytes);

// @return true when a line ends without a carriage return: no valid head can follow.
bool HasBareLineFeed(std::string_view bytes);

// Read a whole head as FindHeadEnd() gives it.
// @return false when it is malformed; `fault` then says why.
bool ParseRequestHead(std::string_view text, RequestHead& head, std::string& fault);
bool ParseResponseHead(std::string_view text, ResponseHead& head, std::string& fault);

// Find how the body ends.
// @return false when that is ambiguous or malformed; `fault` then says why.
bool FindRequestFraming(const RequestHead& head, BodyFraming& framing, std::string& fault);
bool FindResponseFraming(const ResponseHead& head, bool answers_head_request, BodyFraming& framing,
                         std::string& fault);

}  // namespace copperlead
