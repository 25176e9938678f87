#include "simulation/wire_size.h"

#include "transport/frame.h"

namespace copperlead::simulation {
namespace {

constexpr std::size_t kUdpIpHeaderBytes = 28;
constexpr std::size_t kTcpIpHeaderBytes = 40;
constexpr std::size_t kSegmentBytes = 1448;
constexpr std::size_t kSegmentsPerAcknowledgement = 2;
constexpr std::size_t kConnectionSegments = 7;  // Three to open, four to close.
constexpr std::size_t kSourceRequestBytes = 200;

// Payload over an open TCP connection, with segment headers and acknowledgements.
std::size_t StreamBytes(std::size_t payload) {
  const std::size_t segments = (payload + kSegmentBytes - 1) / kSegmentBytes;
  const std::size_t acknowledgements =
      (segments + kSegmentsPerAcknowledgement - 1) / kSegmentsPerAcknowledgement;
  return payload + (segments + acknowledgements) * kTcpIpHeaderBytes;
}

}  // namespace

WireSize WireSizeOf(const Message& message) {
  const std::size_t frame = EncodeMessage(message).size() + SealOverhead();
  if (frame <= kMaxDatagramBytes) return {frame + kUdpIpHeaderBytes, false};
  return {StreamBytes(frame) + kConnectionSegments * kTcpIpHeaderBytes, true};
}

std::size_t SourceExchangeBytes(std::size_t answer_bytes) {
  return StreamBytes(kSourceRequestBytes) + StreamBytes(answer_bytes);
}

}  // namespace copperlead::simulation
