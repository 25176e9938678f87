// Sends large frames to other nodes over TCP connections, which are kept open for a short time
// after use. This header is internal to the transport module.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "transport/reactor.h"
#include "transport/transport.h"

namespace copperlead {

// Limits on outgoing connections.
struct StreamSenderLimits {
  std::size_t peers = 512;                        // Largest number of simultaneous connections.
  std::size_t frames_per_peer = 16;               // Beyond it the oldest unsent frame is dropped.
  std::size_t queued_bytes = 8 * kMaxFrameBytes;  // Over all peers; more frames are dropped.
  Duration connect_timeout = std::chrono::seconds(1);
  Duration write_timeout = std::chrono::seconds(5);  // Longest time without progress.
  Duration idle_timeout = std::chrono::seconds(1);   // Idle connections are closed after it.
  Duration sweep_interval = Milliseconds(200);       // Interval between checks of the deadlines.
};

class StreamSender : public std::enable_shared_from_this<StreamSender> {
 public:
  StreamSender(Reactor& reactor, const StreamSenderLimits& limits, TransportCounters& counters);

  // Queues a frame without blocking. May be called on any thread.
  void Send(const SocketAddress& to, std::string frame);
  // @return true when no frame is queued or being written. May be called on any thread.
  bool IsIdle() const { return queued_bytes_ == 0; }

  // Drops all queued frames, closes all connections and drops every later frame. Must be called on
  // the reactor's thread.
  void Close();

 private:
  struct Peer {
    SocketAddress address;
    Socket socket;
    Reactor::WatchId watch = 0;
    bool connected = false;
    bool reused = false;  // True after the first frame; the peer may have closed it while idle.
    std::deque<std::string> frames;
    std::size_t written = 0;  // Number of bytes of the first frame that are written.
    Timestamp deadline{};
  };
  using PeerPointer = std::shared_ptr<Peer>;

  void Enqueue(const SocketAddress& to, std::string frame);
  void Connect(const PeerPointer& peer);
  void Disconnect(Peer& peer);
  void HandleEvents(const PeerPointer& peer, std::uint32_t events);
  void Write(const PeerPointer& peer);
  void FinishFrame(Peer& peer);
  void DropFrame(Peer& peer, std::size_t index);
  void HandleConnectionLoss(const PeerPointer& peer);
  void Remove(const PeerPointer& peer);
  void ScheduleSweep();
  void Sweep();

  Reactor& reactor_;
  const StreamSenderLimits limits_;
  TransportCounters& counters_;
  std::atomic<std::size_t> queued_bytes_{0};  // Size of all frames not yet written or dropped.
  // These members are used on the reactor's thread only.
  std::map<SocketAddress, PeerPointer> peers_;
  bool sweep_scheduled_ = false;
  bool closed_ = false;
};

}  // namespace copperlead
