// Reads a message body off a socket piece by piece, without holding more than the socket's buffer.
#pragma once

#include <cstdint>
#include <string_view>

#include "proxy/http_message.h"
#include "proxy/socket_stream.h"

namespace copperlead {

enum class BodyStatus : std::uint8_t {
  kPiece,      // Some bytes of the body.
  kEnd,        // The body ended as its framing says.
  kMalformed,  // Bad chunking.
  kFailed,     // The socket failed or a limit was reached: see BodyStep::io.
};

struct BodyStep {
  BodyStatus status = BodyStatus::kEnd;
  IoStatus io = IoStatus::kOk;
  std::string_view piece;  // Valid until the next call.
};

// Used by one thread. The stream must outlive it. Trailers are read and dropped.
class BodyReader {
 public:
  BodyReader(SocketStream& stream, BodyFraming framing);

  BodyStep Next(const IoLimits& limits);
  bool ended() const { return state_ == State::kEnded; }

 private:
  enum class State : std::uint8_t {
    kData,       // `left_` bytes of the body or of the chunk are to come.
    kChunkSize,  // A line with a chunk's size is next.
    kChunkEnd,   // The line end after a chunk's data is next.
    kTrailer,    // Trailer lines are next.
    kEnded,
    kMalformed,
  };

  // Works off one element of chunked framing. @return false when more bytes are needed.
  bool ParseFramingLine();
  void ParseChunkSize(std::string_view line);
  BodyStep TakePiece();
  BodyStep EndOfStream(IoStatus status);

  SocketStream& stream_;
  BodyFraming framing_;
  State state_;
  std::uint64_t left_ = 0;
  std::size_t taken_ = 0;  // Size of the piece last handed out.
  std::size_t trailer_bytes_ = 0;
};

}  // namespace copperlead
