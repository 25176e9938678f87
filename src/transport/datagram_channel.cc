#include "transport/datagram_channel.h"

#include <sys/epoll.h>

#include <array>

namespace copperlead {
namespace {

// Upper bound on datagrams read per wake-up, so that one busy socket does not starve the others.
constexpr int kMaxDatagramsPerWakeup = 64;

}  // namespace

DatagramChannel::DatagramChannel(Reactor& reactor, Socket socket, TransportCounters& counters,
                                 Handler handler)
    : reactor_(reactor),
      counters_(counters),
      handler_(std::move(handler)),
      socket_(std::move(socket)) {}

void DatagramChannel::Open() {
  watch_ = reactor_.Watch(socket_, EPOLLIN, [this](std::uint32_t) { Receive(); });
}

void DatagramChannel::Close() {
  const std::lock_guard lock(mutex_);
  if (!socket_.open()) return;
  reactor_.Unwatch(watch_, socket_);
  socket_.Close();
}

void DatagramChannel::Send(const SocketAddress& to, std::string_view frame) {
  const std::optional<NativeAddress> native = ToNative(to);
  const std::lock_guard lock(mutex_);
  const bool sent = native && socket_.open() &&
                    sendto(socket_.descriptor(), frame.data(), frame.size(),
                           MSG_DONTWAIT | MSG_NOSIGNAL, native->pointer(), native->size) >= 0;
  if (!sent) {
    ++counters_.send_failures;
    return;
  }
  ++counters_.messages_sent;
  counters_.bytes_sent += frame.size();
}

void DatagramChannel::Receive() {
  std::array<char, kMaxDatagramBytes> buffer;
  for (int count = 0; count < kMaxDatagramsPerWakeup && socket_.open(); ++count) {
    NativeAddress native;
    native.size = sizeof(native.storage);
    const ssize_t size = recvfrom(socket_.descriptor(), buffer.data(), buffer.size(), MSG_TRUNC,
                                  native.pointer(), &native.size);
    if (size < 0) return;
    const auto bytes = static_cast<std::size_t>(size);
    counters_.bytes_received += bytes;
    if (bytes > buffer.size()) {
      ++counters_.bad_frames;
      continue;
    }
    handler_(FromNative(native), std::string_view(buffer.data(), bytes));
  }
}

}  // namespace copperlead
