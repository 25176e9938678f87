// Closes connections whose peer may still be sending. An immediate close would make the system send
// a reset, which can destroy a response that the peer has not read yet. Therefore the sending side
// is shut down first, and input is discarded for a limited time before the socket is closed.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <thread>
#include <vector>

#include "base/time.h"

namespace copperlead {

// Thread-safe. Runs one background thread.
class LingeringCloser {
 public:
  LingeringCloser();
  // Closes all lingering sockets without further delay.
  ~LingeringCloser();
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  // Takes ownership of a non-blocking socket.
  void Close(int fd);

  static constexpr Duration kLingerTime = std::chrono::seconds(1);
  static constexpr std::size_t kMaxLingering = 512;  // Further sockets are closed immediately.

 private:
  struct Lingering {
    int fd;
    Timestamp end;
  };

  void Work();

  std::mutex mutex_;  // Guards the members below.
  std::condition_variable changed_;
  std::vector<Lingering> added_;
  std::size_t lingering_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace copperlead
