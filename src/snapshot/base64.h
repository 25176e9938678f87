// Strict decoding of Base64 (RFC 4648 section 4, with padding). Internal to snapshot/.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace copperlead {

// @return the decoded bytes, or nullopt when the text is not made of complete, padded groups of
//         four characters.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace copperlead
