#include "transport/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace copperlead {
namespace {

constexpr int kListenBacklog = 512;
// Receive buffer of the UDP socket, large enough for a burst of pushed updates.
constexpr int kDatagramBufferBytes = 1 << 20;
// Number of attempts to find a port that is free for both UDP and TCP when port 0 is requested.
constexpr int kPortAttempts = 32;

void SetOption(const Socket& socket, int level, int option, int value) {
  setsockopt(socket.descriptor(), level, option, &value, sizeof(value));
}

Socket OpenSocket(int family, int type) {
  return Socket(::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Does not set SO_REUSEADDR: for UDP it would let two nodes share a port without an error.
Socket BindDatagram(const NativeAddress& address) {
  Socket socket = OpenSocket(address.storage.ss_family, SOCK_DGRAM);
  if (!socket.open()) return socket;
  SetOption(socket, SOL_SOCKET, SO_RCVBUF, kDatagramBufferBytes);
  if (bind(socket.descriptor(), address.pointer(), address.size) != 0) return Socket();
  return socket;
}

Socket BindListener(const NativeAddress& address) {
  Socket socket = OpenSocket(address.storage.ss_family, SOCK_STREAM);
  if (!socket.open()) return socket;
  SetOption(socket, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(socket.descriptor(), address.pointer(), address.size) != 0) return Socket();
  if (listen(socket.descriptor(), kListenBacklog) != 0) return Socket();
  return socket;
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void Socket::Close() {
  if (descriptor_ < 0) return;
  // Preserves errno so that the caller can still report why an earlier call failed.
  const int saved_errno = errno;
  ::close(std::exchange(descriptor_, -1));
  errno = saved_errno;
}

std::optional<NativeAddress> ToNative(const SocketAddress& address) {
  NativeAddress native;
  auto* const ipv4 = reinterpret_cast<sockaddr_in*>(&native.storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(address.port);
    native.size = sizeof(sockaddr_in);
    return native;
  }
  auto* const ipv6 = reinterpret_cast<sockaddr_in6*>(&native.storage);
  if (inet_pton(AF_INET6, address.ip.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(address.port);
    native.size = sizeof(sockaddr_in6);
    return native;
  }
  return std::nullopt;
}

SocketAddress FromNative(const NativeAddress& native) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (native.storage.ss_family == AF_INET) {
    const auto* const ipv4 = reinterpret_cast<const sockaddr_in*>(&native.storage);
    inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
    return {text.data(), ntohs(ipv4->sin_port)};
  }
  const auto* const ipv6 = reinterpret_cast<const sockaddr_in6*>(&native.storage);
  inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
  return {text.data(), ntohs(ipv6->sin6_port)};
}

SocketAddress LocalAddress(const Socket& socket) {
  NativeAddress native;
  native.size = sizeof(native.storage);
  getsockname(socket.descriptor(), native.pointer(), &native.size);
  return FromNative(native);
}

Result<BoundSockets> BindSockets(const SocketAddress& address) {
  if (!ToNative(address)) {
    return Fail(ErrorKind::kBadAddress, ToString(address), "the IP must be numeric");
  }
  const int attempts = address.port == 0 ? kPortAttempts : 1;
  int reason = 0;
  for (int attempt = 0; attempt < attempts; ++attempt) {
    BoundSockets bound;
    bound.listener = BindListener(*ToNative(address));
    if (!bound.listener.open()) {
      reason = errno;
      continue;
    }
    bound.address = LocalAddress(bound.listener);
    bound.datagram = BindDatagram(*ToNative(bound.address));
    if (bound.datagram.open()) return bound;
    reason = errno;
  }
  return Fail(ErrorKind::kAddressInUse, ToString(address), std::strerror(reason));
}

bool HasUnreadInput(const Socket& socket) {
  char byte = 0;
  const ssize_t size = recv(socket.descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EINTR);
}

Socket StartConnect(const NativeAddress& address) {
  Socket socket = OpenSocket(address.storage.ss_family, SOCK_STREAM);
  if (!socket.open()) return socket;
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  const int code = connect(socket.descriptor(), address.pointer(), address.size);
  if (code != 0 && errno != EINPROGRESS) return Socket();
  return socket;
}

}  // namespace copperlead
