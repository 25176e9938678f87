// The accepting TCP side of a transport: reads frames from other nodes' connections.
//
// Whoever connects may be anyone, so everything is bounded: the number of connections, the time
// until a frame is whole, and the bytes held for frames that are not. Buffers grow with the bytes
// that arrive, not with the length that a header claims. Internal to the transport module.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "transport/reactor.h"
#include "transport/transport.h"

namespace copperlead {

// Bounds on incoming connections.
struct StreamReceiverLimits {
  std::size_t connections = 256;
  std::size_t buffered_bytes = 4 * kMaxFrameBytes;    // Over all connections.
  Duration idle_timeout = std::chrono::seconds(5);    // Until a frame's first byte.
  Duration frame_timeout = std::chrono::seconds(10);  // From a frame's first byte to its last.
  Duration sweep_interval = Milliseconds(500);        // How often deadlines are looked at.
};

// All functions are for the reactor's thread.
class StreamReceiver : public std::enable_shared_from_this<StreamReceiver> {
 public:
  // Called with each whole frame. @return false to close the connection it came from.
  using Handler = std::function<bool(std::string_view frame)>;

  StreamReceiver(Reactor& reactor, Socket listener, const StreamReceiverLimits& limits,
                 TransportCounters& counters, Handler handler);

  void Open();
  // Closes the listener and every connection. Idempotent.
  void Close();

 private:
  struct Connection {
    Socket socket;
    Reactor::WatchId watch = 0;
    std::string buffer;
    Timestamp deadline{};
    Timestamp last_frame{};  // When it last brought a good frame; at first, when it was accepted.
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  void Accept();
  void Admit(Socket socket);
  void EvictStalest();
  void Receive(const ConnectionPointer& connection);
  bool TakeFrames(Connection& connection);
  // @param connection not an element of connections_, which it is taken out of.
  void Remove(const ConnectionPointer& connection);
  void ScheduleSweep();
  void Sweep();

  Reactor& reactor_;
  const StreamReceiverLimits limits_;
  TransportCounters& counters_;
  const Handler handler_;
  Socket listener_;
  Reactor::WatchId watch_ = 0;
  std::vector<ConnectionPointer> connections_;
  std::size_t buffered_bytes_ = 0;
  bool sweep_scheduled_ = false;
};

}  // namespace copperlead
