// Accepts TCP connections from other nodes and reads frames from them.
//
// Connecting peers are not trusted. The number of connections, the time until a frame is complete
// and the bytes buffered for incomplete frames are therefore limited. Buffers grow with the bytes
// received, not with the length that a header claims. This header is internal to the transport
// module.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "transport/reactor.h"
#include "transport/transport.h"

namespace copperlead {

// Limits on incoming connections.
struct StreamReceiverLimits {
  std::size_t connections = 256;
  std::size_t buffered_bytes = 4 * kMaxFrameBytes;  // Total over all connections.
  Duration idle_timeout = std::chrono::seconds(5);  // Longest wait for the first byte of a frame.
  // Longest time from the first byte of a frame to its last.
  Duration frame_timeout = std::chrono::seconds(10);
  Duration sweep_interval = Milliseconds(500);  // Interval between checks of the deadlines.
};

// All functions must be called on the reactor's thread.
class StreamReceiver : public std::enable_shared_from_this<StreamReceiver> {
 public:
  // Called with each complete frame.
  // @return false to close the connection on which the frame arrived.
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
    Timestamp last_frame{};  // Arrival of the last complete frame; initially the acceptance.
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  void Accept();
  void Admit(Socket socket);
  void CloseLeastRecentlyUsed();
  void Receive(const ConnectionPointer& connection);
  bool HandleFrames(Connection& connection);
  // Closes the connection.
  // @param connection must not refer to an element of connections_, since that element is erased.
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
