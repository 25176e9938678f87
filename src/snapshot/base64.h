// Base64 (RFC 4648 section 4, with padding), strict. Internal to snapshot/.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace copperlead {

// @return the decoded bytes; nothing when the text holds anything but whole, padded groups.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace copperlead
