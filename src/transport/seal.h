// AES-256-GCM by OpenSSL. Internal to the transport module.
//
// Nonces are 96 random bits: keep a key below 2^32 frames over the whole fleet (NIST SP 800-38D),
// which the rotation of keys has to see to.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace copperlead {

inline constexpr std::size_t kKeyBytes = 32;
inline constexpr std::size_t kNonceBytes = 12;
inline constexpr std::size_t kTagBytes = 16;

// @return a number that tells the fleet's two keys apart without saying anything of use about
//         them: the first byte of the key's SHA-256.
std::uint8_t KeyIdOf(const std::string& key);

// Appends nonce, ciphertext and tag of `plain` to `frame`, with what `frame` held before as
// additional authenticated data. Any thread.
// @return false when the library fails or has no randomness; `frame` is then of no use.
bool AppendSealed(const std::string& key, std::string_view plain, std::string& frame);

// @param sealed nonce, ciphertext and tag; at least kNonceBytes + kTagBytes long.
// @return the plain bytes; nothing when key, header or bytes are not those that were sealed.
std::optional<std::string> Unseal(const std::string& key, std::string_view header,
                                  std::string_view sealed);

}  // namespace copperlead
