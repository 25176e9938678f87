// Encodes and decodes messages as encrypted frames of bounded size.
//
// A frame starts with a header (magic, protocol version, key id, length). The body is the cereal
// encoding of the Message, encrypted with AES-256-GCM under a fleet key (nonce, ciphertext, tag);
// the header is its additional authenticated data. Lengths are checked against the limits before
// anything is allocated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "membership/message.h"

namespace copperlead {

inline constexpr std::size_t kMaxFrameBytes = std::size_t{8} * 1024 * 1024;
// Frames up to this size are sent as one UDP datagram, larger ones over TCP.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

// The keys shared by all nodes of a fleet. Frames are sealed with the first key and opened with any
// of them; there are two during a key rotation.
struct FleetKeys {
  std::vector<std::string> keys;  // Keys of 32 bytes each.
};

// Reads a key file, which holds one or two base64 keys of 32 bytes, one per line, the sealing key
// first.
// @return the keys, or kUnreadableFile or kBadSetting naming the file and the line.
Result<FleetKeys> LoadFleetKeys(const std::string& path);

// @return the cereal encoding of `message`, not sealed. The simulation uses its size for byte
//         counts.
std::string EncodeMessage(const Message& message);
// Decodes a message, allocating at most a small multiple of bytes.size().
// @return the message, or kBadFrame.
Result<Message> DecodeMessage(std::string_view bytes);

// @return the number of bytes that a frame adds to its encoded message.
std::size_t SealOverhead();

// @return the complete frame, ready to be sent; empty when there is no key or encryption fails.
std::string SealFrame(const FleetKeys& keys, const std::string& encoded);
// @return the encoded message; kBadFrame, kFrameTooLarge, or kUnsealFailed when no key opens the
//         frame because it was sealed with another key or altered.
Result<std::string> OpenFrame(const FleetKeys& keys, std::string_view frame);

// @return the size of a frame's header, which is needed to determine the size of the frame.
std::size_t FrameHeaderBytes();
// @param header at least FrameHeaderBytes() bytes from the start of the frame.
// @return the size of the complete frame, header included, or kBadFrame or kFrameTooLarge.
Result<std::size_t> FrameSize(std::string_view header);

}  // namespace copperlead
