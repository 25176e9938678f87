// Plain sockets with which tests act as callers and back ends, including misbehaving ones.
#pragma once

#include <atomic>
#include <chrono>
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

// One message as received: the head as text, the body without its framing.
struct RawMessage {
  std::string head;  // Empty when no complete head was received.
  std::string body;
  bool complete = false;  // The body ended as its framing specifies.

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

  // @return false when the connection has failed.
  bool Send(std::string_view bytes) const;
  // Reads one message. Expects no body in a response to HEAD or with a status that allows none.
  RawMessage Read(bool answers_head = false);
  // @return true when there are bytes to read, or the end, before `until`.
  bool AwaitReadable(std::chrono::steady_clock::time_point until) const;
  // Reads until the peer closes or at least `limit` bytes have been received.
  std::string ReadToEnd(std::size_t limit = SIZE_MAX);
  // @return true when the peer closes the connection, orderly or by a reset, within the waiting
  //         time.
  bool AwaitClosed() const;
  // The last read failed, as it does after a reset, instead of finding an orderly end.
  bool was_reset() const { return was_reset_; }
  void Reset();
  void Close();
  // Ends this side in an orderly way; the other one may still send.
  void EndSending() const;
  int fd() const { return fd_; }

 private:
  // @return "" when no head was received.
  std::string ReadHead();
  bool Fill();
  bool ReadBody(RawMessage& message, bool answers_head);
  bool ReadChunks(std::string& body);

  int fd_;
  std::string buffer_;
  bool was_reset_ = false;
};

// A listener that runs `serve` in a thread for each connection. The destructor shuts down all
// connections.
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
  int fd_;  // Bind() sets address_ while it creates this descriptor.
  std::atomic<int> connections_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::set<int> open_;  // Guarded by mutex_.
  std::list<std::thread> threads_;
  std::thread accepting_;
};

// @return an address on which nothing listens.
SocketAddress RefusingAddress();

// Waits until a connection has failed, without taking the error from its socket. @return whether it
// has, in time.
bool AwaitFailed(int fd);

// Waits until a condition becomes true, for a limited time. @return whether it became true.
bool Eventually(const std::function<bool()>& condition);

}  // namespace copperlead
