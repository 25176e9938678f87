// Sends and receives the UDP datagrams of a transport. This header is internal to the transport
// module.
#pragma once

#include <functional>
#include <mutex>
#include <string_view>

#include "transport/reactor.h"
#include "transport/transport.h"

namespace copperlead {

class DatagramChannel {
 public:
  // Called on the reactor's thread with each received datagram that is small enough to be a frame;
  // the content has not been checked.
  using Handler = std::function<void(const SocketAddress& from, std::string_view datagram)>;

  DatagramChannel(Reactor& reactor, Socket socket, TransportCounters& counters, Handler handler);

  // Open() and Close() must be called on the reactor's thread.
  void Open();
  void Close();

  // Sends one datagram without blocking. A datagram that the system does not accept, for example
  // because the socket buffer is full, is dropped and counted in send_failures. May be called on
  // any thread.
  void Send(const SocketAddress& to, std::string_view frame);

 private:
  void Receive();

  Reactor& reactor_;
  TransportCounters& counters_;
  const Handler handler_;
  Reactor::WatchId watch_ = 0;
  std::mutex mutex_;  // Prevents Close() from closing socket_ during Send().
  Socket socket_;
};

}  // namespace copperlead
