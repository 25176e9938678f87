#include "standin/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

namespace copperlead::standin {

SystemAddress ToSystem(const SocketAddress& address) {
  SystemAddress system;
  sockaddr_in ipv4{};
  if (inet_pton(AF_INET, address.ip.c_str(), &ipv4.sin_addr) == 1) {
    ipv4.sin_family = AF_INET;
    ipv4.sin_port = htons(address.port);
    system.length = sizeof(ipv4);
    std::memcpy(&system.storage, &ipv4, sizeof(ipv4));
    return system;
  }
  sockaddr_in6 ipv6{};
  inet_pton(AF_INET6, address.ip.c_str(), &ipv6.sin6_addr);
  ipv6.sin6_family = AF_INET6;
  ipv6.sin6_port = htons(address.port);
  system.length = sizeof(ipv6);
  std::memcpy(&system.storage, &ipv6, sizeof(ipv6));
  return system;
}

std::string IpOf(const SystemAddress& address) {
  char text[INET6_ADDRSTRLEN] = "";
  const bool is_ipv4 = address.storage.ss_family == AF_INET;
  const void* ip = is_ipv4 ? static_cast<const void*>(
                                 &reinterpret_cast<const sockaddr_in&>(address.storage).sin_addr)
                           : &reinterpret_cast<const sockaddr_in6&>(address.storage).sin6_addr;
  inet_ntop(address.storage.ss_family, ip, text, sizeof(text));
  return text;
}

std::uint16_t BoundPort(int socket) {
  SystemAddress address;
  if (getsockname(socket, address.get(), &address.length) != 0) return 0;
  if (address.storage.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in&>(address.storage).sin_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in6&>(address.storage).sin6_port);
}

}  // namespace copperlead::standin
