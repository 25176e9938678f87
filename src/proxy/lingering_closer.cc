#include "proxy/lingering_closer.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace copperlead {
namespace {

constexpr std::size_t kDropBytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds kRound{20};  // Between looks at the lingering sockets.

Timestamp Now() { return SteadyClock().Now(); }

// Drops what the peer has sent. @return true when the peer has closed or failed.
bool DropInput(int fd) {
  constexpr int kMaxReads = 16;  // Of one round, so that no peer holds up the others.
  std::array<char, kDropBytes> dropped;
  for (int reads = 0; reads < kMaxReads; ++reads) {
    const ssize_t count = recv(fd, dropped.data(), dropped.size(), MSG_DONTWAIT);
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
  if (DropInput(fd)) {
    close(fd);
    return;
  }
  const std::lock_guard lock(mutex_);
  if (stopping_ || lingering_ >= kMaxLingering) {
    close(fd);
    return;
  }
  ++lingering_;
  added_.push_back({fd, Now() + kLinger});
  changed_.notify_all();
}

void LingeringCloser::Work() {
  std::vector<Lingering> sockets;
  std::unique_lock lock(mutex_);
  for (;;) {
    if (sockets.empty()) {
      changed_.wait(lock, [this] { return stopping_ || !added_.empty(); });
    } else {
      changed_.wait_for(lock, kRound, [this] { return stopping_; });
    }
    sockets.insert(sockets.end(), added_.begin(), added_.end());
    added_.clear();
    const bool stopping = stopping_;
    lock.unlock();
    const Timestamp now = Now();
    const auto closed = std::erase_if(sockets, [&](const Lingering& socket) {
      if (!stopping && socket.end > now && !DropInput(socket.fd)) return false;
      close(socket.fd);
      return true;
    });
    lock.lock();
    lingering_ -= closed;
    if (stopping && added_.empty()) return;
  }
}

}  // namespace copperlead
