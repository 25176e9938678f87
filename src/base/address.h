// Text form of IPv4 and IPv6 socket addresses, as used in settings and in the machine list.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace copperlead {

// A numeric IP address and a port. Addresses compare by the text of the IP, then by the port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
  bool empty() const { return ip.empty(); }
};

// Parses "IP:PORT" (IPv6 in brackets). Port 0 lets the operating system choose a free port.
// @return the address, or kBadAddress with the text as its place when the IP is not numeric or the
//         port is not a number from 0 to 65535.
Result<SocketAddress> ParseSocketAddress(std::string_view text);

// @return "IP:PORT" (IPv6 in brackets), which ParseSocketAddress reads back.
std::string ToString(const SocketAddress& address);

}  // namespace copperlead
