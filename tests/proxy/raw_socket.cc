#include "tests/proxy/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <sstream>
#include <utility>

namespace copperlead {
namespace {

constexpr int kWaitTimeoutMilliseconds = 20'000;

sockaddr_in ToSystemAddress(const SocketAddress& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
  return system;
}

int Bind(SocketAddress& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  address = {"127.0.0.1", 0};
  sockaddr_in system = ToSystemAddress(address);
  socklen_t size = sizeof(system);
  bind(fd, reinterpret_cast<sockaddr*>(&system), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&system), &size);
  address.port = ntohs(system.sin_port);
  return fd;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

}  // namespace

int RawMessage::status() const { return head.size() < 12 ? 0 : std::stoi(head.substr(9, 3)); }

std::string RawMessage::Header(std::string_view name) const {
  std::istringstream lines(head);
  std::string values;
  for (std::string line; std::getline(lines, line);) {
    const auto colon = line.find(':');
    if (colon == std::string::npos || ToLower(line.substr(0, colon)) != name) continue;
    if (!values.empty()) values += '|';
    values += line.substr(colon + 2, line.size() - colon - 3);
  }
  return values;
}

RawSocket RawSocket::Connect(const SocketAddress& address) {
  const sockaddr_in system = ToSystemAddress(address);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&system), sizeof(system)) != 0) {
    close(fd);
    return RawSocket(-1);
  }
  return RawSocket(fd);
}

bool RawSocket::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool RawSocket::Fill() {
  if (fd_ < 0) return false;
  pollfd descriptor{fd_, POLLIN, 0};
  if (poll(&descriptor, 1, kWaitTimeoutMilliseconds) <= 0) return false;
  std::array<char, 65536> bytes;
  const ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
  was_reset_ = count < 0;
  if (count <= 0) return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

bool RawSocket::AwaitReadable(std::chrono::steady_clock::time_point until) const {
  if (!buffer_.empty()) return true;
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
  pollfd descriptor{fd_, POLLIN, 0};
  return fd_ >= 0 && left.count() > 0 && poll(&descriptor, 1, static_cast<int>(left.count())) > 0;
}

std::string RawSocket::ReadHead() {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return {};
  }
  std::string head = buffer_.substr(0, end + 4);
  buffer_.erase(0, end + 4);
  return head;
}

RawMessage RawSocket::Read(bool answers_head) {
  RawMessage message;
  message.head = ReadHead();
  if (message.head.empty()) return message;
  message.complete = ReadBody(message, answers_head);
  return message;
}

bool RawSocket::ReadBody(RawMessage& message, bool answers_head) {
  const bool is_answer = message.head.compare(0, 5, "HTTP/") == 0;
  const int status = is_answer ? message.status() : 0;
  const std::string length = message.Header("content-length");
  if (answers_head || (is_answer && status < 200) || status == 204 || status == 304) return true;
  if (message.Header("transfer-encoding") == "chunked") return ReadChunks(message.body);
  if (length.empty() && !is_answer) return true;
  const std::size_t wanted = length.empty() ? SIZE_MAX : std::stoul(length);
  while (buffer_.size() < wanted && Fill()) {
  }
  message.body = buffer_.substr(0, wanted);
  buffer_.erase(0, message.body.size());
  return length.empty() || message.body.size() == wanted;
}

bool RawSocket::ReadChunks(std::string& body) {
  for (;;) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    const std::size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
    const std::size_t total = end + 2 + size + 2;
    while (buffer_.size() < total) {
      if (!Fill()) return false;
    }
    body += buffer_.substr(end + 2, size);
    buffer_.erase(0, total);
    if (size == 0) return true;
  }
}

std::string RawSocket::ReadToEnd(std::size_t limit) {
  while (buffer_.size() < limit && Fill()) {
  }
  return std::exchange(buffer_, {});
}

bool RawSocket::AwaitClosed() const {
  std::array<char, 4096> dropped;
  for (;;) {
    pollfd descriptor{fd_, POLLIN, 0};
    if (poll(&descriptor, 1, kWaitTimeoutMilliseconds) <= 0) return false;
    if (recv(fd_, dropped.data(), dropped.size(), 0) <= 0) return true;
  }
}

void RawSocket::Reset() {
  const linger reset{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  Close();
}

void RawSocket::EndSending() const { shutdown(fd_, SHUT_WR); }

void RawSocket::Close() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

RawServer::RawServer(Serve serve) : serve_(std::move(serve)), fd_(Bind(address_)) {
  listen(fd_, 512);
  accepting_ = std::thread([this] { Accept(); });
}

RawServer::~RawServer() {
  stopping_ = true;
  shutdown(fd_, SHUT_RDWR);
  accepting_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  for (auto& thread : threads_) thread.join();
  close(fd_);
}

void RawServer::Accept() {
  while (!stopping_) {
    const int fd = accept(fd_, nullptr, nullptr);
    if (fd < 0) continue;
    {
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
    }
    threads_.emplace_back([this, fd, connection = connections_++] {
      RawSocket socket(fd);
      serve_(socket, connection);
      const std::lock_guard lock(mutex_);
      open_.erase(fd);
      socket.Close();
    });
  }
}

SocketAddress RefusingAddress() {
  SocketAddress address;
  close(Bind(address));
  return address;
}

bool AwaitFailed(int fd) {
  return Eventually([fd] {
    pollfd descriptor{fd, 0, 0};
    return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & (POLLERR | POLLHUP)) != 0;
  });
}

bool Eventually(const std::function<bool()>& condition) {
  // Measures the time by the clock, so that a slow condition does not extend the limit.
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(kWaitTimeoutMilliseconds);
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

}  // namespace copperlead
