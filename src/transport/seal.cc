#include "transport/seal.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <memory>

namespace copperlead {
namespace {

struct ContextDeleter {
  void operator()(EVP_CIPHER_CTX* context) const { EVP_CIPHER_CTX_free(context); }
};

// Returns a context that is created once per thread, because creating one costs more than sealing a
// short frame.
EVP_CIPHER_CTX* ThreadContext() {
  thread_local const std::unique_ptr<EVP_CIPHER_CTX, ContextDeleter> context(EVP_CIPHER_CTX_new());
  if (context) EVP_CIPHER_CTX_reset(context.get());
  return context.get();
}

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(char* text) { return reinterpret_cast<unsigned char*>(text); }

}  // namespace

std::uint8_t KeyIdOf(const std::string& key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return digest.front();
}

bool AppendSealed(const std::string& key, std::string_view plain, std::string& frame) {
  const std::string header = frame;
  frame.resize(header.size() + kNonceBytes + plain.size() + kTagBytes);
  unsigned char* const nonce = Bytes(frame.data() + header.size());
  unsigned char* const cipher = nonce + kNonceBytes;
  unsigned char* const tag = cipher + plain.size();
  EVP_CIPHER_CTX* const context = ThreadContext();
  if (context == nullptr || key.size() != kKeyBytes) return false;
  int length = 0;
  return RAND_bytes(nonce, kNonceBytes) == 1 &&
         EVP_EncryptInit_ex(context, EVP_aes_256_gcm(), nullptr, Bytes(key), nonce) == 1 &&
         EVP_EncryptUpdate(context, nullptr, &length, Bytes(header),
                           static_cast<int>(header.size())) == 1 &&
         EVP_EncryptUpdate(context, cipher, &length, Bytes(plain),
                           static_cast<int>(plain.size())) == 1 &&
         EVP_EncryptFinal_ex(context, tag, &length) == 1 &&
         EVP_CIPHER_CTX_ctrl(context, EVP_CTRL_GCM_GET_TAG, kTagBytes, tag) == 1;
}

std::optional<std::string> Unseal(const std::string& key, std::string_view header,
                                  std::string_view sealed) {
  EVP_CIPHER_CTX* const context = ThreadContext();
  if (context == nullptr || key.size() != kKeyBytes) return std::nullopt;
  const std::string_view nonce = sealed.substr(0, kNonceBytes);
  const std::string_view cipher =
      sealed.substr(kNonceBytes, sealed.size() - kNonceBytes - kTagBytes);
  std::string tag(sealed.substr(sealed.size() - kTagBytes));
  std::string plain(cipher.size(), '\0');
  int length = 0;
  const bool authentic =
      EVP_DecryptInit_ex(context, EVP_aes_256_gcm(), nullptr, Bytes(key), Bytes(nonce)) == 1 &&
      EVP_DecryptUpdate(context, nullptr, &length, Bytes(header),
                        static_cast<int>(header.size())) == 1 &&
      EVP_DecryptUpdate(context, Bytes(plain.data()), &length, Bytes(cipher),
                        static_cast<int>(cipher.size())) == 1 &&
      EVP_CIPHER_CTX_ctrl(context, EVP_CTRL_GCM_SET_TAG, kTagBytes, tag.data()) == 1 &&
      EVP_DecryptFinal_ex(context, Bytes(plain.data()) + plain.size(), &length) == 1;
  if (!authentic) return std::nullopt;
  return plain;
}

}  // namespace copperlead
