// Reads a message body from a socket incrementally. Never holds more than the socket's buffer.
#pragma once

#include <cstdint>
#include <string_view>

#include "proxy/http_message.h"
#include "proxy/socket_stream.h"

namespace copperlead {

enum class BodyStatus : std::uint8_t {
  kPiece,      // BodyStep::piece holds some bytes of the body.
  kEnd,        // The body is complete according to its framing.
  kMalformed,  // The chunked encoding is invalid.
  kFailed,     // The socket failed or a limit was reached; see BodyStep::io.
};

struct BodyStep {
  BodyStatus status = BodyStatus::kEnd;
  IoStatus io = IoStatus::kOk;
  std::string_view piece;  // Valid until the next call of BodyReader::Next().
};

// Must be used by a single thread. The stream must outlive the reader. Trailers are read and
// discarded.
class BodyReader {
 public:
  BodyReader(SocketStream& stream, BodyFraming framing);

  BodyStep Next(const IoLimits& limits);
  bool ended() const { return state_ == State::kEnded; }

 private:
  enum class State : std::uint8_t {
    kData,       // `remaining_` bytes of the body or of the current chunk are still to be read.
    kChunkSize,  // The next line holds a chunk's size.
    kChunkEnd,   // The line end after a chunk's data comes next.
    kTrailer,    // Trailer lines come next.
    kEnded,
    kMalformed,
  };

  // Parses one line of the chunked framing. @return false when more bytes are needed.
  bool ParseFramingLine();
  void ParseChunkSize(std::string_view line);
  BodyStep TakePiece();
  BodyStep EndOfStream(IoStatus status);

  SocketStream& stream_;
  BodyFraming framing_;
  State state_;
  std::uint64_t remaining_ = 0;
  std::size_t last_piece_size_ = 0;  // Size in bytes of the piece returned last.
  std::size_t trailer_bytes_ = 0;
};

}  // namespace copperlead
