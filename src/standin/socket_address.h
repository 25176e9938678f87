// Conversion between SocketAddress and the system's structure.
#pragma once

#include <sys/socket.h>

#include "base/address.h"

namespace copperlead::standin {

struct SystemAddress {
  sockaddr_storage storage{};
  socklen_t length = sizeof(sockaddr_storage);

  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

// @param address numeric, as ParseSocketAddress gives it.
SystemAddress ToSystem(const SocketAddress& address);

// @return the IP as text.
std::string IpOf(const SystemAddress& address);

// @return the port that a bound socket has.
std::uint16_t BoundPort(int socket);

}  // namespace copperlead::standin
