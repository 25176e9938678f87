// One connected TCP socket: reads into a bounded buffer, writes whole pieces, waits with limits.
#pragma once

#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace copperlead {

enum class IoStatus : std::uint8_t {
  kOk,
  kEnd,       // The peer closed its side in order.
  kReset,     // The connection failed.
  kTimeout,   // No progress within IoLimits::progress.
  kDeadline,  // IoLimits::deadline passed.
  kWatched,   // The watched descriptor became ready (or hung up).
  kReadable,  // Writing stopped since the peer has sent something.
};

// Bounds of one wait for a socket.
struct IoLimits {
  Duration progress{};                // Longest wait without a byte moving.
  std::optional<Timestamp> deadline;  // Hard end, whatever moves.
  int watched_fd = -1;                // Ends the wait when it shows any of `watched_events`,
  short watched_events = 0;           // an error or a hang-up (both directions closed).
  bool stop_when_readable = false;    // Writes only: see kReadable.
};

// Owns the descriptor, which it makes non-blocking. Used by one thread.
class SocketStream {
 public:
  static constexpr std::size_t kBufferBytes = std::size_t{16} * 1024;

  explicit SocketStream(int fd);
  ~SocketStream();
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  int fd() const { return fd_; }
  // Gives the descriptor up without closing it.
  int Release();

  // Waits until something can be read, without needing a buffer.
  IoStatus AwaitReadable(const IoLimits& limits) { return Wait(POLLIN, limits); }
  // Reads what is there, waiting for the first byte; appends it to buffered(). The buffer must not
  // be full.
  IoStatus Fill(const IoLimits& limits);
  std::string_view buffered() const { return {buffer_.get() + begin_, end_ - begin_}; }
  bool full() const { return end_ - begin_ == kBufferBytes; }
  void Consume(std::size_t bytes);
  // Frees the buffer while nothing is in it; the next Fill allocates again.
  void ReleaseBuffer();

  // Writes all pieces in order (at most kMaxPieces). A failure may leave a part written: see
  // bytes_written().
  static constexpr std::size_t kMaxPieces = 4;
  IoStatus Write(std::initializer_list<std::string_view> pieces, const IoLimits& limits);
  // Bytes that the system took over the lifetime of the connection.
  std::uint64_t bytes_written() const { return bytes_written_; }

  // @return true while the peer has neither closed nor sent anything unread: an idle connection
  //         that may be used.
  bool IsQuiet() const;
  // The peer will see a reset in place of an orderly end.
  void ResetOnClose();

 private:
  // Waits until this socket shows any of `events`.
  IoStatus Wait(short events, const IoLimits& limits);

  int fd_;
  std::unique_ptr<char[]> buffer_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::uint64_t bytes_written_ = 0;
};

}  // namespace copperlead
