#include "proxy/socket_stream.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace copperlead {
namespace {

Timestamp Now() { return SteadyClock().Now(); }

// Removes the first `bytes` bytes from a list of pieces.
void Advance(iovec*& piece, std::size_t& count, std::size_t bytes) {
  while (count > 0 && bytes >= piece->iov_len) {
    bytes -= piece->iov_len;
    ++piece;
    --count;
  }
  if (count == 0) return;
  piece->iov_base = static_cast<char*>(piece->iov_base) + bytes;
  piece->iov_len -= bytes;
}

timespec ToTimespec(Duration duration) {
  const auto microseconds = std::max<Duration::rep>(duration.count(), 0);
  return {static_cast<time_t>(microseconds / 1'000'000),
          static_cast<long>(microseconds % 1'000'000) * 1000};
}

}  // namespace

SocketStream::SocketStream(int fd) : fd_(fd) {
  const int flags = fcntl(fd_, F_GETFL, 0);
  fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

SocketStream::~SocketStream() {
  if (fd_ >= 0) close(fd_);
}

int SocketStream::Release() {
  const int fd = fd_;
  fd_ = -1;
  return fd;
}

IoStatus SocketStream::Fill(const IoLimits& limits) {
  if (!buffer_) buffer_ = std::make_unique_for_overwrite<char[]>(kBufferBytes);
  if (end_ == kBufferBytes && begin_ > 0) {
    std::memmove(buffer_.get(), buffer_.get() + begin_, end_ - begin_);
    end_ -= begin_;
    begin_ = 0;
  }
  for (;;) {
    const ssize_t count = recv(fd_, buffer_.get() + end_, kBufferBytes - end_, 0);
    if (count > 0) {
      end_ += static_cast<std::size_t>(count);
      return IoStatus::kOk;
    }
    const int error = end_of_input_.ErrorOf(count);
    if (error == 0) return IoStatus::kEnd;
    if (error == EINTR) continue;
    if (error != EAGAIN) return IoStatus::kReset;
    const IoStatus status = Wait(POLLIN, limits);
    if (status != IoStatus::kOk) return status;
  }
}

void SocketStream::Consume(std::size_t bytes) {
  begin_ += bytes;
  if (begin_ == end_) begin_ = end_ = 0;
}

void SocketStream::ReleaseBuffer() {
  if (begin_ == end_) buffer_.reset();
}

IoStatus SocketStream::Write(std::initializer_list<std::string_view> pieces,
                             const IoLimits& limits) {
  std::array<iovec, kMaxPieces> vectors{};
  std::size_t count = 0;
  for (const auto& piece : pieces) {
    if (!piece.empty()) vectors[count++] = {const_cast<char*>(piece.data()), piece.size()};
  }
  iovec* next = vectors.data();
  while (count > 0) {
    msghdr message{};
    message.msg_iov = next;
    message.msg_iovlen = count;
    const ssize_t written = sendmsg(fd_, &message, MSG_NOSIGNAL);
    if (written >= 0) {
      bytes_written_ += static_cast<std::uint64_t>(written);
      Advance(next, count, static_cast<std::size_t>(written));
      continue;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN) {
      end_of_input_.RecordFailedWrite(errno);
      return IoStatus::kReset;
    }
    const short events = limits.stop_when_readable ? POLLOUT | POLLIN : POLLOUT;
    const IoStatus status = Wait(events, limits);
    if (status != IoStatus::kOk) return status;
  }
  return IoStatus::kOk;
}

IoStatus SocketStream::Wait(short events, const IoLimits& limits) {
  const Timestamp progress_end = Now() + limits.progress;
  const bool deadline_first = limits.deadline && *limits.deadline < progress_end;
  const Timestamp end = deadline_first ? *limits.deadline : progress_end;
  std::array<pollfd, 2> descriptors = {
      {{fd_, events, 0}, {limits.watched_fd, limits.watched_events, 0}}};
  const nfds_t count = limits.watched_fd >= 0 ? 2 : 1;
  for (;;) {
    const timespec left = ToTimespec(end - Now());
    const int ready = ppoll(descriptors.data(), count, &left, nullptr);
    if (ready == 0) return deadline_first ? IoStatus::kDeadline : IoStatus::kTimeout;
    if (ready < 0) {
      if (errno == EINTR) continue;
      return IoStatus::kReset;
    }
    const short shown = descriptors[0].revents;
    if (limits.stop_when_readable && (shown & POLLIN) != 0) return IoStatus::kReadable;
    if (shown != 0) return IoStatus::kOk;
    return IoStatus::kWatched;
  }
}

bool SocketStream::IsIdleAndOpen() const {
  if (begin_ != end_) return false;
  char byte = 0;
  return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

void SocketStream::ResetOnClose() {
  const linger reset{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

}  // namespace copperlead
