#include "snapshot/base64.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstddef>

namespace copperlead {
namespace {

constexpr std::size_t kGroupCharacters = 4;
constexpr std::size_t kGroupBytes = 3;

bool IsBase64Character(char character) {
  return (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '+' || character == '/';
}

}  // namespace

std::optional<std::string> DecodeBase64(std::string_view text) {
  if (text.size() % kGroupCharacters != 0) return std::nullopt;
  if (text.empty()) return std::string();
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
  // OpenSSL's decoder skips spaces and line ends at both ends of the text, so the characters are
  // checked first.
  if (!std::ranges::all_of(text.substr(0, text.size() - padding), IsBase64Character))
    return std::nullopt;
  std::string bytes(text.size() / kGroupCharacters * kGroupBytes, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size < 0) return std::nullopt;
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace copperlead
