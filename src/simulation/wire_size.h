// Bytes that a message costs on the wire, headers of the lower layers included.
#pragma once

#include <cstddef>

#include "membership/message.h"

namespace copperlead::simulation {

struct WireSize {
  std::size_t bytes = 0;
  bool stream = false;  // Travels over TCP, being too large for one datagram.
};

// @return the size of the message sealed in a frame, in one UDP datagram or over a TCP connection
//         of its own (handshake, segments and acknowledgements counted to the sender).
WireSize WireSizeOf(const Message& message);

// @return the size of an HTTP exchange with the source whose answer has `answer_bytes`.
std::size_t SourceExchangeBytes(std::size_t answer_bytes);

}  // namespace copperlead::simulation
