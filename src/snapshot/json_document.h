// Parsing of untrusted JSON, with limits on its size, depth and number of values and without
// duplicate keys. Checked getters report the position of an invalid value. Used by snapshot/ and
// the command line tools.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/result.h"

namespace copperlead {

using JsonPointer = nlohmann::json_pointer<std::string>;

inline constexpr std::size_t kMaxJsonDepth = 16;
inline constexpr std::size_t kMaxJsonValues = 2'000'000;

// A position in a text. Lines and bytes are both counted from 1 at the start of the text.
struct TextPosition {
  std::size_t line = 1;
  std::size_t byte = 1;
};

// @return "line 3, byte 57".
std::string ToString(const TextPosition& position);

// A parsed JSON text. The text must outlive the document, which uses it to locate values.
class JsonDocument {
 public:
  // @param limit largest permitted size of the text, in bytes.
  // @return the document; kOversized; or kMalformedJson with the position of the first error. The
  //         error does not quote the text, which may contain secrets.
  static Result<JsonDocument> Parse(std::string_view text, std::size_t limit);

  // Reports an error for the value at `pointer`, with the position of its nearest existing parent
  // when the value is missing. The error's place has the form
  // "line 3, byte 57: \"/services/permit-desk\"".
  boost::leaf::error_id FailAt(ErrorKind kind, const JsonPointer& pointer,
                               const std::string& cause) const;

  // Checked getters, which fail with kMalformedJson when the value is missing or has another type.
  // GetUint64 fails with `kind` when the value is not an integer from `minimum` to `maximum`.
  Result<const nlohmann::json*> Get(const JsonPointer& pointer) const;
  Result<const nlohmann::json*> GetObject(const JsonPointer& pointer) const;
  Result<const nlohmann::json*> GetArray(const JsonPointer& pointer) const;
  Result<std::string> GetString(const JsonPointer& pointer) const;
  Result<std::uint64_t> GetUint64(const JsonPointer& pointer, ErrorKind kind, std::uint64_t minimum,
                                  std::uint64_t maximum) const;

 private:
  std::string_view text_;
  std::shared_ptr<const nlohmann::json> root_;
};

}  // namespace copperlead
