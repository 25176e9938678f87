// Authenticated encryption with AES-256-GCM, implemented with OpenSSL. This header is internal to
// the transport module.
//
// Nonces are 96 random bits, so a key must seal fewer than 2^32 frames over the whole fleet
// (NIST SP 800-38D). Key rotation has to ensure this.
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

// @return the first byte of the key's SHA-256 hash. It helps to select the matching key of a fleet
//         and reveals nothing useful about it.
std::uint8_t KeyIdOf(const std::string& key);

// Encrypts `plain` and appends nonce, ciphertext and tag to `frame`. The initial content of `frame`
// is the additional authenticated data. May be called on any thread.
// @return false when OpenSSL fails or has no random bytes; the content of `frame` is then invalid.
bool AppendSealed(const std::string& key, std::string_view plain, std::string& frame);

// Decrypts and authenticates bytes written by AppendSealed().
// @param header the additional authenticated data.
// @param sealed nonce, ciphertext and tag; at least kNonceBytes + kTagBytes long.
// @return the plaintext; nullopt when key, header or sealed bytes differ from those used to seal.
std::optional<std::string> Unseal(const std::string& key, std::string_view header,
                                  std::string_view sealed);

}  // namespace copperlead
