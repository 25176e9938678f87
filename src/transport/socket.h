// Sockets as values: an owned descriptor, numeric addresses, and the few calls the transport
// makes. All sockets are non-blocking and closed on exec. Internal to the transport module.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>
#include <utility>

#include "base/address.h"

namespace copperlead {

// Owns one descriptor.
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

// An address as the system calls take it.
struct NativeAddress {
  sockaddr_storage storage{};
  socklen_t size = 0;

  const sockaddr* pointer() const { return reinterpret_cast<const sockaddr*>(&storage); }
  sockaddr* pointer() { return reinterpret_cast<sockaddr*>(&storage); }
};

// @return nothing when `address.ip` is not numeric.
std::optional<NativeAddress> ToNative(const SocketAddress& address);
SocketAddress FromNative(const NativeAddress& native);

// @return the address that the socket is bound to.
SocketAddress LocalAddress(const Socket& socket);

// The two sockets of a node: one port for both.
struct BoundSockets {
  Socket datagram;
  Socket listener;
  SocketAddress address;
};

// Binds UDP and TCP on the same port and listens. With port 0, one that is free for both.
// @return kBadAddress, or kAddressInUse naming the address and the system's reason.
Result<BoundSockets> BindSockets(const SocketAddress& address);

// Starts a TCP connection that does not block.
// @return a closed socket when the system refuses at once.
Socket StartConnect(const NativeAddress& address);

}  // namespace copperlead
