// The connecting TCP side of a transport: carries large frames to other nodes over connections
// that are kept for a short while after use. Internal to the transport module.
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

// Bounds on outgoing connections.
struct StreamSenderLimits {
  std::size_t peers = 512;                        // Connections at a time.
  std::size_t frames_per_peer = 16;               // Then the oldest waiting one is dropped.
  std::size_t queued_bytes = 8 * kMaxFrameBytes;  // Over all peers; then new ones are dropped.
  Duration connect_timeout = std::chrono::seconds(1);
  Duration write_timeout = std::chrono::seconds(5);  // Without any progress.
  Duration idle_timeout = std::chrono::seconds(1);   // A connection is kept after its last frame.
  Duration sweep_interval = Milliseconds(200);       // How often deadlines are looked at.
};

class StreamSender : public std::enable_shared_from_this<StreamSender> {
 public:
  StreamSender(Reactor& reactor, const StreamSenderLimits& limits, TransportCounters& counters);

  // Queues a frame; never blocks. Any thread.
  void Send(const SocketAddress& to, std::string frame);
  // True when no frame waits or is being written. Any thread.
  bool Drained() const { return queued_bytes_ == 0; }

  // Drops what is queued, closes every connection and takes nothing more. Reactor's thread.
  void Close();

 private:
  struct Peer {
    SocketAddress address;
    Socket socket;
    Reactor::WatchId watch = 0;
    bool connected = false;
    bool reused = false;  // Carried a frame before: the other side may have closed it meanwhile.
    std::deque<std::string> frames;
    std::size_t written = 0;  // Bytes of the first frame.
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
  void Lost(const PeerPointer& peer);
  void Remove(const PeerPointer& peer);
  void ScheduleSweep();
  void Sweep();

  Reactor& reactor_;
  const StreamSenderLimits limits_;
  TransportCounters& counters_;
  std::atomic<std::size_t> queued_bytes_{0};  // From Send() until written or dropped.
  // Of the reactor's thread.
  std::map<SocketAddress, PeerPointer> peers_;
  bool sweep_scheduled_ = false;
  bool closed_ = false;
};

}  // namespace copperlead
