#include "transport/frame.h"

#include <optional>

#include "transport/seal.h"

namespace copperlead {
namespace {

// The header holds the magic (2 bytes), the protocol version (1 byte), the key id (1 byte) and the
// number of bytes that follow it (4 bytes, little-endian).
constexpr char kMagic[] = {'C', 'L'};
constexpr std::uint8_t kProtocolVersion = 1;
constexpr std::size_t kVersionOffset = 2;
constexpr std::size_t kKeyIdOffset = 3;
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kHeaderBytes = 8;
constexpr std::size_t kMinBodyBytes = kNonceBytes + kTagBytes;

std::uint8_t ByteAt(std::string_view bytes, std::size_t offset) {
  return static_cast<std::uint8_t>(bytes[offset]);
}

std::size_t ReadLength(std::string_view header) {
  std::size_t length = 0;
  for (std::size_t index = 0; index < 4; ++index) {
    length |= std::size_t{ByteAt(header, kLengthOffset + index)} << (8 * index);
  }
  return length;
}

std::string MakeHeader(std::uint8_t key_id, std::size_t length) {
  std::string header(kMagic, sizeof(kMagic));
  header.push_back(static_cast<char>(kProtocolVersion));
  header.push_back(static_cast<char>(key_id));
  for (int index = 0; index < 4; ++index) {
    header.push_back(static_cast<char>(length >> (8 * index)));
  }
  return header;
}

}  // namespace

std::size_t SealOverhead() { return kHeaderBytes + kMinBodyBytes; }

std::size_t FrameHeaderBytes() { return kHeaderBytes; }

std::string SealFrame(const FleetKeys& keys, const std::string& encoded) {
  if (keys.keys.empty()) return {};
  const std::string& key = keys.keys.front();
  std::string frame = MakeHeader(KeyIdOf(key), encoded.size() + kMinBodyBytes);
  if (!AppendSealed(key, encoded, frame)) return {};
  return frame;
}

Result<std::size_t> FrameSize(std::string_view header) {
  if (header.size() < kHeaderBytes) return Fail(ErrorKind::kBadFrame, "header", "truncated");
  if (header.substr(0, sizeof(kMagic)) != std::string_view(kMagic, sizeof(kMagic))) {
    return Fail(ErrorKind::kBadFrame, "header", "wrong magic");
  }
  if (ByteAt(header, kVersionOffset) != kProtocolVersion) {
    return Fail(ErrorKind::kBadFrame, "header", "unknown protocol version");
  }
  const std::size_t length = ReadLength(header);
  if (length < kMinBodyBytes)
    return Fail(ErrorKind::kBadFrame, "header", "body length is below the minimum");
  if (length > kMaxFrameBytes - kHeaderBytes) {
    return Fail(ErrorKind::kFrameTooLarge, "header", std::to_string(length) + " bytes");
  }
  return kHeaderBytes + length;
}

Result<std::string> OpenFrame(const FleetKeys& keys, std::string_view frame) {
  BOOST_LEAF_AUTO(size, FrameSize(frame));
  if (size != frame.size())
    return Fail(ErrorKind::kBadFrame, "frame", "size differs from the length in the header");
  const std::string_view header = frame.substr(0, kHeaderBytes);
  for (const std::string& key : keys.keys) {
    if (KeyIdOf(key) != ByteAt(header, kKeyIdOffset)) continue;
    std::optional<std::string> plain = Unseal(key, header, frame.substr(kHeaderBytes));
    if (plain) return std::move(*plain);
  }
  return Fail(ErrorKind::kUnsealFailed, "frame", "unknown key or altered frame");
}

}  // namespace copperlead
