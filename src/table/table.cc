#include "table/table.h"

#include <openssl/evp.h>

#include <algorithm>
#include <stdexcept>

#include "table/csv.h"

namespace copperlead {

void Canonicalize(Table& table) { std::ranges::stable_sort(table.rows, {}, &RouteRow::route); }

Digest DigestOf(const Table& table) { return DigestOf(ToCsv(table)); }

Digest DigestOf(const std::string& bytes) {
  Digest digest{};
  unsigned int size = 0;
  if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("SHA-256 is not available");
  }
  return digest;
}

std::string ToHex(const Digest& digest) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(digest.size() * 2);
  for (const std::uint8_t byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xf];
  }
  return text;
}

}  // namespace copperlead
