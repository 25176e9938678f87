// One connected TCP socket. Reads into a bounded buffer, writes complete pieces and waits within
// limits.
#pragma once

#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "proxy/end_of_input.h"

namespace copperlead {

enum class IoStatus : std::uint8_t {
  kOk,
  kEnd,       // The peer closed its side in an orderly way; see EndOfInput.
  kReset,     // The connection failed.
  kTimeout,   // No progress within IoLimits::progress.
  kDeadline,  // IoLimits::deadline passed.
  kWatched,   // The watched descriptor became ready (or hung up).
  kReadable,  // Writing stopped because the peer has sent something.
};

// Limits of one wait for a socket.
struct IoLimits {
  Duration progress{};                // Longest wait without progress.
  std::optional<Timestamp> deadline;  // Latest end, regardless of progress.
  int watched_fd = -1;                // Ends the wait when it reports any of `watched_events`,
  short watched_events = 0;           // an error or a hang-up (both directions closed).
  bool stop_when_readable = false;    // For writes only; see IoStatus::kReadable.
};

// Owns the descriptor and makes it non-blocking. Must be used by a single thread.
class SocketStream {
 public:
  static constexpr std::size_t kBufferBytes = std::size_t{16} * 1024;

  explicit SocketStream(int fd);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  int fd() const { return fd_; }
  // Releases ownership of the descriptor without closing it.
  int Release();

  // Waits until something can be read. Allocates no buffer.
  IoStatus AwaitReadable(const IoLimits& limits) { return Wait(POLLIN, limits); }
  // Waits for input and appends what is available to buffered(). The buffer must not be full.
  IoStatus Fill(const IoLimits& limits);
  std::string_view buffered() const { return {buffer_.get() + begin_, end_ - begin_}; }
  bool full() const { return end_ - begin_ == kBufferBytes; }
  void Consume(std::size_t bytes);
  // Frees the buffer if it is empty; the next Fill() allocates it again.
  void ReleaseBuffer();

  // Writes all pieces in order (at most kMaxPieces). After a failure a part may have been written;
  // see bytes_written().
  static constexpr std::size_t kMaxPieces = 4;
  IoStatus Write(std::initializer_list<std::string_view> pieces, const IoLimits& limits);
  // Bytes that the system has accepted during the lifetime of the connection.
  std::uint64_t bytes_written() const { return bytes_written_; }

  // @return true while the peer has neither closed nor sent anything that is still unread, so that
  //         the connection may be reused.
  bool IsIdleAndOpen() const;
  // Makes the close send a reset instead of an orderly end.
  void ResetOnClose();

 private:
  // Waits until this socket reports any of `events`, or a limit is reached.
  IoStatus Wait(short events, const IoLimits& limits);

  int fd_;
  EndOfInput end_of_input_;
  std::unique_ptr<char[]> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::uint64_t bytes_written_ = 0;
};

}  // namespace copperlead
