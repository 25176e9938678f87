// Sockets that do as they are told: callers and back ends of the proxy's tests, well-behaved or
// not.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "base/address.h"

namespace copperlead {

// One message as it came: the head as text, the body with its framing taken off.
struct RawMessage {
  std::string head;  // Empty when none came whole.
  std::string body;
  bool whole = false;  // The body ended as its framing says.

  int status() const;
  // @return the values of all fields `name` (in lower case), joined by '|'; "" when there is none.
  std::string Header(std::string_view name) const;
};

class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  static RawSocket Connect(const SocketAddress& address);
  RawSocket(RawSocket&& other) noexcept : fd_(other.fd_), buffer_(std::move(other.buffer_)) {
    other.fd_ = -1;
  }
  RawSocket& operator=(RawSocket&& other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(buffer_, other.buffer_);
    return *this;
  }
  ~RawSocket() { Close(); }

  // @return false when the peer is gone.
  bool Send(std::string_view bytes) const;
  // Reads one message. The answer to HEAD and the statuses without body have none.
  RawMessage Read(bool answers_head = false);
  // Reads what comes until the peer closes or `limit` bytes are there.
  std::string ReadToEnd(std::size_t limit = SIZE_MAX);
  // @return true when the peer closed in order or by a reset (within a generous bound).
  bool AwaitClosed() const;
  // The last read found a reset in place of an orderly end.
  bool was_reset() const { return was_reset_; }
  void Reset();
  void Close();

 private:
  bool Fill();
  bool ReadBody(RawMessage& message, bool answers_head);
  bool ReadChunks(std::string& body);

  int fd_;
  std::string buffer_;
  bool was_reset_ = false;
};

// A listener that runs `serve` in a thread for each connection; its end ends them all.
class RawServer {
 public:
  using Serve = std::function<void(RawSocket& socket, int connection)>;

  explicit RawServer(Serve serve);
  ~RawServer();
  const SocketAddress& address() const { return address_; }
  int connections() const { return connections_; }

 private:
  void Accept();

  const Serve serve_;
  SocketAddress address_;
  int fd_;  // Bound while address_ is filled in.
  std::atomic<int> connections_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<int> open_;  // Guarded by mutex_.
  std::list<std::thread> threads_;
  std::thread accepting_;
};

// An address at which nothing listens.
SocketAddress RefusingAddress();

// Waits for a condition with a generous bound. @return whether it came true.
bool Eventually(const std::function<bool()>& condition);

}  // namespace copperlead
