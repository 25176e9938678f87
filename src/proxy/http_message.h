// A strict parser for the heads of HTTP/1.1 messages (RFC 9112). It refuses whatever two parsers
// could interpret differently. The parser of cpp-httplib is unsuitable for a proxy: it
// percent-decodes header values (so that "%0d%0a" becomes a line break), drops empty ones, and
// accepts Content-Length together with Transfer-Encoding.
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
// Header fields in the order received.
using HeaderFields = std::vector<HeaderField>;

struct RequestHead {
  std::string method;
  std::string target;
  int minor_version = 1;  // Minor version of HTTP/1.
  HeaderFields fields;
};

struct ResponseHead {
  int status = 0;
  std::string reason;
  int minor_version = 1;
  HeaderFields fields;
};

enum class BodyKind : std::uint8_t { kNone, kLength, kChunked, kUntilClose };

// How the end of a body is determined.
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

// @return true when the list `name` contains `token`.
bool ListContains(const HeaderFields& fields, std::string_view name, std::string_view token);

// Parses decimal digits only, at most 18 of them. @return false for any other text.
bool ParseWholeNumber(std::string_view text, std::uint64_t& number);

// @return the size of the head at the start of `bytes`, including its empty line; 0 when the
//         head is incomplete.
std::size_t FindHeadEnd(std::string_view bytes);

// @return true when a line ends without a carriage return, so that the head cannot be valid.
bool HasBareLineFeed(std::string_view bytes);

// Parse a complete head, whose size FindHeadEnd() determines.
// @return false when the head is malformed; `fault` then holds the reason.
bool ParseRequestHead(std::string_view text, RequestHead& head, std::string& fault);
bool ParseResponseHead(std::string_view text, ResponseHead& head, std::string& fault);

// @return true when a line, without its end, is a well-formed header or trailer field.
bool IsFieldLine(std::string_view line);

// @return true when the text holds no control character but tabs.
bool IsFieldValue(std::string_view text);

// Determine how the end of the body is found.
// @return false when the framing is ambiguous or malformed; `fault` then holds the reason.
bool FindRequestFraming(const RequestHead& head, BodyFraming& framing, std::string& fault);
bool FindResponseFraming(const ResponseHead& head, bool answers_head_request, BodyFraming& framing,
                         std::string& fault);

enum class HeadStatus : std::uint8_t {
  kIncomplete,  // More bytes are needed.
  kComplete,
  kMalformed  // Also as soon as one line of an incomplete head shows it.
};

// The head of a response at the start of what has been received of it.
struct NextResponseHead {
  HeadStatus status = HeadStatus::kIncomplete;
  ResponseHead head;
  BodyFraming framing;
  std::size_t size = 0;  // In bytes, when complete.
  std::string fault;     // The reason, when malformed.
};

NextResponseHead ParseNextResponseHead(std::string_view bytes, bool answers_head_request);

}  // namespace copperlead
