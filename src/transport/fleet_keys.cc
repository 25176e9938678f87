// Implements LoadFleetKeys of frame.h. Error messages never contain any part of a key.
#include <openssl/evp.h>

#include <algorithm>
#include <fstream>
#include <string>

#include "transport/frame.h"
#include "transport/seal.h"

namespace copperlead {
namespace {

constexpr std::size_t kMaxKeys = 2;
// Length of kKeyBytes in base64, including one '=' of padding.
constexpr std::size_t kEncodedKeyBytes = 44;
constexpr std::string_view kBase64Alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// @return the key of kKeyBytes; empty when the text is not a base64 key of that length.
std::string DecodeKey(const std::string& text) {
  if (text.size() != kEncodedKeyBytes || text.back() != '=') return {};
  if (text.find_first_not_of(kBase64Alphabet) != kEncodedKeyBytes - 1) return {};
  std::string key(kEncodedKeyBytes / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(key.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size != static_cast<int>(kKeyBytes) + 1) return {};
  key.resize(kKeyBytes);
  return key;
}

std::string TrimTrailingWhitespace(std::string line) {
  const auto end = line.find_last_not_of(" \t\r");
  line.erase(end == std::string::npos ? 0 : end + 1);
  return line;
}

}  // namespace

Result<FleetKeys> LoadFleetKeys(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Fail(ErrorKind::kUnreadableFile, path, "cannot be opened");
  FleetKeys keys;
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const std::string text = TrimTrailingWhitespace(line);
    if (text.empty()) continue;
    const std::string place = path + ":" + std::to_string(number);
    if (keys.keys.size() == kMaxKeys) {
      return Fail(ErrorKind::kBadSetting, place, "more than two keys; allowed: one or two");
    }
    std::string key = DecodeKey(text);
    if (key.empty()) {
      return Fail(ErrorKind::kBadSetting, place, "not a valid key; allowed: 32 bytes in base64");
    }
    keys.keys.push_back(std::move(key));
  }
  if (file.bad()) return Fail(ErrorKind::kUnreadableFile, path, "cannot be read");
  if (keys.keys.empty()) {
    return Fail(ErrorKind::kBadSetting, path, "contains no key; allowed: one or two, one per line");
  }
  return keys;
}

}  // namespace copperlead
