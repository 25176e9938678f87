// Closes connections whose peer may still be sending. Closing at once would make the system send a
// reset, which can destroy an answer the peer has not read yet; so the sending side is closed first
// and what comes is dropped for a while.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

#include "base/time.h"

namespace copperlead {

// Thread-safe; one thread of its own.
class LingeringCloser {
 public:
  LingeringCloser();
  // Closes all at once.
  ~LingeringCloser();
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  // Takes over a non-blocking socket.
  void Close(int fd);

  static constexpr Duration kLinger = std::chrono::seconds(1);
  static constexpr std::size_t kMaxLingering = 512;  // Beyond it, sockets are closed at once.

 private:
  struct Lingering {
    int fd;
    Timestamp end;
  };

  void Work();

  std::mutex mutex_;  // Guards what follows.
  std::condition_variable changed_;
  std::vector<Lingering> added_;
  std::size_t lingering_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace copperlead
