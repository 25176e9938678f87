#include "snapshot/compression.h"

#include <zstd.h>

#include <stdexcept>

namespace copperlead {
namespace {

constexpr int kZstdCompressionLevel = 3;
constexpr const char* kPlace = "payload";

}  // namespace

std::string Compress(std::string_view bytes) {
  std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
  const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(),
                                         bytes.size(), kZstdCompressionLevel);
  if (ZSTD_isError(size) != 0) throw std::runtime_error(ZSTD_getErrorName(size));
  compressed.resize(size);
  compressed.shrink_to_fit();
  return compressed;
}

Result<std::string> Decompress(std::string_view compressed, std::size_t limit) {
  const auto stated_size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (stated_size == ZSTD_CONTENTSIZE_UNKNOWN || stated_size == ZSTD_CONTENTSIZE_ERROR) {
    return Fail(ErrorKind::kBadFrame, kPlace, "no zstd frame that states its size");
  }
  if (stated_size > limit) {
    return Fail(ErrorKind::kOversized, kPlace,
                std::to_string(stated_size) + " bytes after decompression, at most " +
                    std::to_string(limit) + " are allowed");
  }
  std::string bytes(stated_size, '\0');
  const std::size_t size =
      ZSTD_decompress(bytes.data(), bytes.size(), compressed.data(), compressed.size());
  if (ZSTD_isError(size) != 0 || size != stated_size) {
    return Fail(ErrorKind::kBadFrame, kPlace, "damaged zstd frame");
  }
  return bytes;
}

}  // namespace copperlead
