#include "proxy/lingering_closer.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace copperlead {
namespace {

constexpr std::size_t kDiscardBufferBytes = std::size_t{16} * 1024;
// Time between two passes over the lingering sockets.
constexpr std::chrono::milliseconds kPollInterval{20};

Timestamp Now() { return SteadyClock().Now(); }

// Discards what the peer has sent. @return true when the peer has closed or the socket has failed.
bool DiscardInput(int fd) {
  constexpr int kMaxReads = 16;  // Per pass, so that no peer delays the others.
  std::array<char, kDiscardBufferBytes> discarded;
  for (int reads = 0; reads < kMaxReads; ++reads) {
    const ssize_t count = recv(fd, discarded.data(), discarded.size(), MSG_DONTWAIT);
    if (count == 0) return true;
    if (count < 0) return errno != EAGAIN && errno != EINTR;
  }
  return false;
}

}  // namespace

LingeringCloser::LingeringCloser() : thread_([this] { Work(); }) {}

LingeringCloser::~LingeringCloser() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void LingeringCloser::Close(int fd) {
  shutdown(fd, SHUT_WR);
  if (DiscardInput(fd)) {
    close(fd);
    return;
  }
  const std::lock_guard lock(mutex_);
  if (stopping_ || lingering_ >= kMaxLingering) {
    close(fd);
    return;
  }
  ++lingering_;
  added_.push_back({fd, Now() + kLingerTime});
  changed_.notify_all();
}

void LingeringCloser::Work() {
  std::vector<Lingering> sockets;
  std::unique_lock lock(mutex_);
  for (;;) {
    if (sockets.empty()) {
      changed_.wait(lock, [this] { return stopping_ || !added_.empty(); });
    } else {
      changed_.wait_for(lock, kPollInterval, [this] { return stopping_; });
    }
    sockets.insert(sockets.end(), added_.begin(), added_.end());
    added_.clear();
    const bool stopping = stopping_;
    lock.unlock();
    const Timestamp now = Now();
    const auto closed = std::erase_if(sockets, [&](const Lingering& socket) {
      if (!stopping && socket.end > now && !DiscardInput(socket.fd)) return false;
      close(socket.fd);
      return true;
    });
    lock.lock();
    lingering_ -= closed;
    if (stopping && added_.empty()) return;
  }
}

}  // namespace copperlead
