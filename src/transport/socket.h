// Socket descriptors with ownership, numeric socket addresses, and the socket calls that the
// transport needs. All sockets are non-blocking and closed on exec. This header is internal to the
// transport module.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <utility>

#include "base/address.h"

namespace copperlead {

// A descriptor that is closed by its owner's destructor.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket() { Close(); }

  int descriptor() const { return descriptor_; }
  bool open() const { return descriptor_ >= 0; }
  void Close();

 private:
  int descriptor_ = -1;
};

// A socket address in the form that the system calls use.
struct NativeAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;

  const sockaddr* pointer() const { return reinterpret_cast<const sockaddr*>(&storage); }
  sockaddr* pointer() { return reinterpret_cast<sockaddr*>(&storage); }
};

// @return nullopt when `address.ip` is not a numeric IP address.
std::optional<NativeAddress> ToNative(const SocketAddress& address);
SocketAddress FromNative(const NativeAddress& native);

// @return the address that the socket is bound to.
SocketAddress LocalAddress(const Socket& socket);

// The UDP and the TCP socket of a node, bound to the same port.
struct BoundSockets {
  Socket datagram;
  Socket listener;
  SocketAddress address;
};

// Binds UDP and TCP sockets to the same port and listens. With port 0, chooses a port that is free
// for both.
// @return the sockets, or kBadAddress, or kAddressInUse with the address and the system's
//         error text.
Result<BoundSockets> BindSockets(const SocketAddress& address);

// @return true if data, the end of the connection or an error is waiting to be read.
bool HasUnreadInput(const Socket& socket);

// Starts a non-blocking TCP connection attempt.
// @return the socket, which is closed when the attempt fails immediately.
Socket StartConnect(const NativeAddress& address);

}  // namespace copperlead
