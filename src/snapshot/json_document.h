// A JSON body from outside, read with bounds and without duplicate keys, whose values are fetched
// by checked getters that report the place of a fault. Used by snapshot/ and the toolbox.
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

// Position in a text. Lines count from 1, bytes from 1 at the start of the text.
struct TextPosition {
  std::size_t line = 1;
  std::size_t byte = 1;
};

// @return "line 3, byte 57".
std::string ToString(const TextPosition& position);

// A parsed body. Keeps a view of the text for places: the text must outlive it.
class JsonDocument {
 public:
  // @return kOversized, or kMalformedJson with the place of the first fault. Nothing of the text
  //         is quoted, as it may hold secrets.
  static Result<JsonDocument> Parse(std::string_view text, std::size_t limit);

  // @return the error for the value at `pointer` (or, when it is missing, for its nearest parent),
  //         placed as "line 3, byte 57: /services/permit-desk".
  boost::leaf::error_id FailAt(ErrorKind kind, const JsonPointer& pointer,
                               const std::string& cause) const;

  // Checked getters: kMalformedJson when the value is missing or of another type.
  // @param kind reported for a number that is not whole or outside the bounds.
  Result<const nlohmann::json*> Get(const JsonPointer& pointer) const;
  Result<const nlohmann::json*> GetObject(const JsonPointer& pointer) const;
  Result<const nlohmann::json*> GetArray(const JsonPointer& pointer) const;
  Result<std::string> GetText(const JsonPointer& pointer) const;
  Result<std::uint64_t> GetNumber(const JsonPointer& pointer, ErrorKind kind, std::uint64_t minimum,
                                  std::uint64_t maximum) const;

 private:
  std::string_view text_;
  std::shared_ptr<const nlohmann::json> root_;
};

}  // namespace copperlead
