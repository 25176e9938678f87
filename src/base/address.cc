#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace copperlead {
namespace {

bool IsNumericIp(const std::string& ip) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(AF_INET, ip.c_str(), buffer) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), buffer) == 1;
}

}  // namespace

Result<SocketAddress> ParseSocketAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ErrorKind::kBadAddress, std::string(text), "expected IP:PORT");
  }
  std::string ip(text.substr(0, colon));
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
  if (!IsNumericIp(ip)) {
    return Fail(ErrorKind::kBadAddress, std::string(text), "the IP must be numeric");
  }
  const auto port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (code != std::errc() || end != port_text.data() + port_text.size() || port_text.empty()) {
    return Fail(ErrorKind::kBadAddress, std::string(text), "the port must be 0 to 65535");
  }
  return SocketAddress{std::move(ip), port};
}

std::string ToString(const SocketAddress& address) {
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  const std::string ip = is_ipv6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

}  // namespace copperlead
