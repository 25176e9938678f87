#include "transport/stream_receiver.h"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace copperlead {
namespace {

constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
// Upper bounds per wake-up, so that one busy socket does not starve the others.
constexpr int kMaxReadsPerWakeup = 8;
constexpr int kMaxAcceptsPerWakeup = 64;

Timestamp Now() { return SteadyClock().Now(); }

}  // namespace

StreamReceiver::StreamReceiver(Reactor& reactor, Socket listener,
                               const StreamReceiverLimits& limits, TransportCounters& counters,
                               Handler handler)
    : reactor_(reactor),
      limits_(limits),
      counters_(counters),
      handler_(std::move(handler)),
      listener_(std::move(listener)) {}

void StreamReceiver::Open() {
  watch_ = reactor_.Watch(listener_, EPOLLIN, [this](std::uint32_t) { Accept(); });
}

void StreamReceiver::Close() {
  if (!listener_.open()) return;
  reactor_.Unwatch(watch_, listener_);
  listener_.Close();
  while (!connections_.empty()) Remove(ConnectionPointer(connections_.back()));
}

void StreamReceiver::Accept() {
  for (int count = 0; count < kMaxAcceptsPerWakeup; ++count) {
    Socket socket(accept4(listener_.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.open()) {
      Admit(std::move(socket));
      continue;
    }
    // When no descriptor is free the listener stays readable, which would wake the reactor again
    // and again. Closing a connection frees a descriptor.
    if ((errno == EMFILE || errno == ENFILE) && !connections_.empty()) CloseLeastRecentlyUsed();
    return;
  }
}

void StreamReceiver::Admit(Socket socket) {
  if (connections_.size() >= limits_.connections) CloseLeastRecentlyUsed();
  const auto connection = std::make_shared<Connection>();
  connection->socket = std::move(socket);
  connection->last_frame = Now();
  connection->deadline = connection->last_frame + limits_.idle_timeout;
  connection->watch = reactor_.Watch(connection->socket, EPOLLIN,
                                     [this, connection](std::uint32_t) { Receive(connection); });
  connections_.push_back(connection);
  ScheduleSweep();
}

void StreamReceiver::CloseLeastRecentlyUsed() {
  const auto least_recent =
      std::min_element(connections_.begin(), connections_.end(),
                       [](const ConnectionPointer& left, const ConnectionPointer& right) {
                         return left->last_frame < right->last_frame;
                       });
  ++counters_.rejected_streams;
  Remove(ConnectionPointer(*least_recent));
}

void StreamReceiver::Receive(const ConnectionPointer& connection) {
  std::array<char, kReadBytes> chunk;
  for (int count = 0; count < kMaxReadsPerWakeup && connection->socket.open(); ++count) {
    const ssize_t size = recv(connection->socket.descriptor(), chunk.data(), chunk.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (size <= 0) return Remove(connection);
    const auto bytes = static_cast<std::size_t>(size);
    if (buffered_bytes_ + bytes > limits_.buffered_bytes) {
      ++counters_.rejected_streams;
      return Remove(connection);
    }
    if (connection->buffer.empty()) connection->deadline = Now() + limits_.frame_timeout;
    connection->buffer.append(chunk.data(), bytes);
    buffered_bytes_ += bytes;
    if (!HandleFrames(*connection)) return Remove(connection);
  }
}

// @return false when the connection must be closed.
bool StreamReceiver::HandleFrames(Connection& connection) {
  std::size_t consumed = 0;
  bool keep_open = true;
  while (keep_open && connection.socket.open() &&
         connection.buffer.size() - consumed >= FrameHeaderBytes()) {
    const std::string_view rest = std::string_view(connection.buffer).substr(consumed);
    const Outcome<std::size_t> size = Resolve([&] { return FrameSize(rest); });
    if (!size) {
      ++counters_.bad_frames;
      return false;
    }
    if (rest.size() < size.value()) break;
    counters_.bytes_received += size.value();
    keep_open = handler_(rest.substr(0, size.value()));
    consumed += size.value();
    connection.last_frame = Now();
    connection.deadline = connection.last_frame + limits_.idle_timeout;
  }
  if (consumed == 0 || !connection.socket.open()) return keep_open;
  connection.buffer.erase(0, consumed);
  buffered_bytes_ -= consumed;
  if (connection.buffer.empty()) connection.buffer.shrink_to_fit();
  if (!connection.buffer.empty()) connection.deadline = Now() + limits_.frame_timeout;
  return keep_open;
}

void StreamReceiver::Remove(const ConnectionPointer& connection) {
  if (!connection->socket.open()) return;
  reactor_.Unwatch(connection->watch, connection->socket);
  connection->socket.Close();
  buffered_bytes_ -= connection->buffer.size();
  std::erase(connections_, connection);
}

void StreamReceiver::ScheduleSweep() {
  if (sweep_scheduled_ || connections_.empty()) return;
  sweep_scheduled_ = true;
  reactor_.RunAt(Now() + limits_.sweep_interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Sweep();
  });
}

void StreamReceiver::Sweep() {
  sweep_scheduled_ = false;
  const Timestamp now = Now();
  const std::vector<ConnectionPointer> connections = connections_;
  for (const ConnectionPointer& connection : connections) {
    if (connection->deadline > now) continue;
    if (!connection->buffer.empty() || connection->socket.open()) ++counters_.rejected_streams;
    Remove(connection);
  }
  ScheduleSweep();
}

}  // namespace copperlead
