// The UDP side of a transport. Internal to the transport module.
#pragma once

#include <functional>
#include <mutex>
#include <string_view>

#include "transport/reactor.h"
#include "transport/transport.h"

namespace copperlead {

class DatagramChannel {
 public:
  // Called on the reactor's thread with each datagram that may be a frame.
  using Handler = std::function<void(const SocketAddress& from, std::string_view datagram)>;

  DatagramChannel(Reactor& reactor, Socket socket, TransportCounters& counters, Handler handler);

  // Reactor's thread.
  void Open();
  void Close();

  // Sends one datagram; never blocks. A full socket buffer counts as a failure, like any loss on
  // the way. Any thread.
  void Send(const SocketAddress& to, std::string_view frame);

 private:
  void Receive();

  Reactor& reactor_;
  TransportCounters& counters_;
  const Handler handler_;
  Reactor::WatchId watch_ = 0;
  std::mutex mutex_;  // Guards socket_ against Close() during Send().
  Socket socket_;
};

}  // namespace copperlead
