#include "toolbox/load_responder.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>

namespace copperlead {
namespace {

constexpr int kBacklog = 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nanswered\n";

// Reads more into `bytes`. @return false when the caller is gone.
bool Receive(int fd, std::string& bytes) {
  std::array<char, 16384> part;
  const ssize_t count = recv(fd, part.data(), part.size(), 0);
  if (count <= 0) return false;
  bytes.append(part.data(), static_cast<std::size_t>(count));
  return true;
}

std::size_t ContentLength(std::string head) {
  constexpr std::string_view kName = "\r\ncontent-length:";
  std::transform(head.begin(), head.end(), head.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  const auto at = head.find(kName);
  return at == std::string::npos ? 0 : std::stoul(head.substr(at + kName.size()));
}

bool AnswerOne(int fd, std::string& bytes) {
  std::size_t end = 0;
  while ((end = bytes.find(kHeadEnd)) == std::string::npos) {
    if (!Receive(fd, bytes)) return false;
  }
  std::size_t left = end + kHeadEnd.size() + ContentLength(bytes.substr(0, end));
  while (bytes.size() < left) {
    left -= bytes.size();
    bytes.clear();
    if (!Receive(fd, bytes)) return false;
  }
  bytes.erase(0, left);
  return send(fd, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(kAnswer.size());
}

void Serve(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string bytes;
  while (AnswerOne(fd, bytes)) {
  }
  close(fd);
}

// @return the listening socket; -1 when the address cannot be bound. IPv4 only.
int Listen(SocketAddress& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(address.port);
  socklen_t size = sizeof(system);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr) != 1 ||
      bind(fd, reinterpret_cast<const sockaddr*>(&system), size) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&system), &size);
  address.port = ntohs(system.sin_port);
  return fd;
}

}  // namespace

Result<int> RunResponder(const SocketAddress& listen) {
  SocketAddress address = listen;
  const int listener = Listen(address);
  if (listener < 0) return Fail(ErrorKind::kAddressInUse, ToString(listen), "cannot listen there");
  std::cout << R"({"listen":")" << ToString(address) << "\"}" << std::endl;
  for (;;) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd >= 0) std::thread(Serve, fd).detach();
  }
}

}  // namespace copperlead
