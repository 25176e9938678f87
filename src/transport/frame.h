// Bytes of one message: a bounded, sealed frame.
//
// Header: magic, protocol version, key id, length; then AES-256-GCM (nonce, ciphertext, tag) under
// the fleet key over the cereal encoding of the Message, with the header as authenticated data.
// Lengths are checked against the bounds before anything is allocated.
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
// Frames up to this size travel as one UDP datagram, larger ones over TCP.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

// The fleet's keys: seals with the first, accepts all (two while rotating).
struct FleetKeys {
  std::vector<std::string> keys;  // Each 32 bytes.
};

// Reads a key file: one base64 key of 32 bytes per line, the sealing key first, at most two.
// @return kUnreadableFile or kBadSetting naming file and line.
Result<FleetKeys> LoadFleetKeys(const std::string& path);

// @return the cereal encoding of `message`, not sealed; used for byte counts in simulation.
std::string EncodeMessage(const Message& message);
// @return the message, or kBadFrame; never allocates more than a small multiple of bytes.size().
Result<Message> DecodeMessage(std::string_view bytes);

// Size of a sealed frame beyond its encoded message.
std::size_t SealOverhead();

// @return the whole frame, ready for one datagram or the stream.
std::string SealFrame(const FleetKeys& keys, const std::string& encoded);
// @return the encoded message; kBadFrame, kFrameTooLarge, or kUnsealFailed (wrong key, altered).
Result<std::string> OpenFrame(const FleetKeys& keys, std::string_view frame);

// Number of bytes from the start of a stream needed to know the frame's whole size.
std::size_t FrameHeaderBytes();
// @return whole frame size told by a header of FrameHeaderBytes(); kBadFrame, kFrameTooLarge.
Result<std::size_t> FrameSize(std::string_view header);

}  // namespace copperlead
