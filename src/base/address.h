// An IPv4 or IPv6 socket address in text form, as settings and the machine list give it.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace copperlead {

// A numeric IP and a port. Value type; compares by text of the IP, then by port.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
  bool empty() const { return ip.empty(); }
};

// Reads "IP:PORT" (IPv6 in brackets). Port 0 asks the system for a free port.
// @return the address; kBadAddress naming the text when it is not a numeric address.
Result<SocketAddress> ParseSocketAddress(std::string_view text);

// @return "IP:PORT", the inverse of ParseSocketAddress.
std::string ToString(const SocketAddress& address);

}  // namespace copperlead
