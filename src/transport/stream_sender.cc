#include "transport/stream_sender.h"

#include <sys/epoll.h>

#include <cerrno>
#include <vector>

namespace copperlead {
namespace {

constexpr std::uint32_t kIdleEvents = EPOLLIN | EPOLLRDHUP;
constexpr std::uint32_t kWritingEvents = kIdleEvents | EPOLLOUT;
// Peers never send data on these connections, so a readable socket was closed by the peer or the
// peer is not a node of the fleet.
constexpr std::uint32_t kLostEvents = EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP;

Timestamp Now() { return SteadyClock().Now(); }

}  // namespace

StreamSender::StreamSender(Reactor& reactor, const StreamSenderLimits& limits,
                           TransportCounters& counters)
    : reactor_(reactor), limits_(limits), counters_(counters) {}

void StreamSender::Send(const SocketAddress& to, std::string frame) {
  const std::size_t size = frame.size();
  if (queued_bytes_.fetch_add(size) + size > limits_.queued_bytes) {
    queued_bytes_ -= size;
    ++counters_.send_failures;
    return;
  }
  const auto shared = std::make_shared<std::string>(std::move(frame));
  reactor_.Post([weak = weak_from_this(), to, shared] {
    if (const auto self = weak.lock()) self->Enqueue(to, std::move(*shared));
  });
}

void StreamSender::Enqueue(const SocketAddress& to, std::string frame) {
  const auto found = peers_.find(to);
  if (closed_ || (found == peers_.end() && peers_.size() >= limits_.peers)) {
    queued_bytes_ -= frame.size();
    ++counters_.send_failures;
    return;
  }
  if (found == peers_.end()) {
    const auto peer = std::make_shared<Peer>();
    peer->address = to;
    peer->frames.push_back(std::move(frame));
    peers_.emplace(to, peer);
    Connect(peer);
    return ScheduleSweep();
  }
  const PeerPointer peer = found->second;
  // The first frame may be partly written, so the second is the oldest one that can be dropped.
  if (peer->frames.size() >= limits_.frames_per_peer) DropFrame(*peer, 1);
  peer->frames.push_back(std::move(frame));
  if (peer->connected && peer->frames.size() == 1) {
    // After a close that no event has reported yet, the kernel would accept the frame, and the
    // peer's reset would discard it.
    if (HasUnreadInput(peer->socket)) return HandleConnectionLoss(peer);
    peer->deadline = Now() + limits_.write_timeout;
    Write(peer);
  }
}

void StreamSender::Connect(const PeerPointer& peer) {
  const std::optional<NativeAddress> native = ToNative(peer->address);
  if (native) peer->socket = StartConnect(*native);
  if (!peer->socket.open()) return Remove(peer);
  peer->connected = false;
  peer->reused = false;
  peer->written = 0;
  peer->deadline = Now() + limits_.connect_timeout;
  peer->watch = reactor_.Watch(peer->socket, kWritingEvents,
                               [this, peer](std::uint32_t events) { HandleEvents(peer, events); });
}

void StreamSender::Disconnect(Peer& peer) {
  if (!peer.socket.open()) return;
  reactor_.Unwatch(peer.watch, peer.socket);
  peer.socket.Close();
}

void StreamSender::HandleEvents(const PeerPointer& peer, std::uint32_t events) {
  if ((events & kLostEvents) != 0) return HandleConnectionLoss(peer);
  if ((events & EPOLLOUT) == 0) return;
  if (!peer->connected) {
    peer->connected = true;
    peer->deadline = Now() + limits_.write_timeout;
  }
  Write(peer);
}

void StreamSender::Write(const PeerPointer& peer) {
  while (!peer->frames.empty()) {
    const std::string& frame = peer->frames.front();
    const ssize_t size = send(peer->socket.descriptor(), frame.data() + peer->written,
                              frame.size() - peer->written, MSG_NOSIGNAL);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      return reactor_.ModifyWatch(peer->watch, peer->socket, kWritingEvents);
    }
    if (size < 0) return HandleConnectionLoss(peer);
    peer->written += static_cast<std::size_t>(size);
    peer->deadline = Now() + limits_.write_timeout;
    if (peer->written == frame.size()) FinishFrame(*peer);
  }
  peer->deadline = Now() + limits_.idle_timeout;
  reactor_.ModifyWatch(peer->watch, peer->socket, kIdleEvents);
}

void StreamSender::FinishFrame(Peer& peer) {
  const std::size_t size = peer.frames.front().size();
  ++counters_.messages_sent;
  counters_.bytes_sent += size;
  peer.frames.pop_front();
  peer.written = 0;
  peer.reused = true;
  queued_bytes_ -= size;
}

void StreamSender::DropFrame(Peer& peer, std::size_t index) {
  const auto frame = peer.frames.begin() + static_cast<std::ptrdiff_t>(index);
  const std::size_t size = frame->size();
  ++counters_.send_failures;
  peer.frames.erase(frame);
  queued_bytes_ -= size;
}

void StreamSender::HandleConnectionLoss(const PeerPointer& peer) {
  if (!peer->reused || peer->frames.empty()) return Remove(peer);
  // The peer may just have closed an idle connection, which does not mean that it is unreachable,
  // so the queued frames are sent over a new connection.
  Disconnect(*peer);
  Connect(peer);
}

void StreamSender::Remove(const PeerPointer& peer) {
  const auto node = peers_.extract(peer->address);  // Keeps the peer alive until the return.
  Disconnect(*peer);
  while (!peer->frames.empty()) DropFrame(*peer, 0);
}

void StreamSender::Close() {
  closed_ = true;
  while (!peers_.empty()) Remove(peers_.begin()->second);
}

void StreamSender::ScheduleSweep() {
  if (sweep_scheduled_ || peers_.empty()) return;
  sweep_scheduled_ = true;
  reactor_.RunAt(Now() + limits_.sweep_interval, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->Sweep();
  });
}

void StreamSender::Sweep() {
  sweep_scheduled_ = false;
  const Timestamp now = Now();
  const std::map<SocketAddress, PeerPointer> peers = peers_;
  for (const auto& [address, peer] : peers) {
    if (peer->deadline <= now) Remove(peer);
  }
  ScheduleSweep();
}

}  // namespace copperlead
