// An httplib::Server on a thread of its own, with what the stand-ins need of it: port 0, a real
// listen backlog, and the socket of a request so that faults can be put on it.
#pragma once

#include <cstdint>
#include <memory>
#include <thread>

#include "base/address.h"

namespace httplib {
class Server;
struct Request;
}  // namespace httplib

namespace copperlead::standin {

class HttpService {
 public:
  // @param threads connections served at a time.
  explicit HttpService(std::size_t threads);
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  // Add handlers before Start.
  httplib::Server& server() { return *server_; }

  // Binds and serves. @return false (after printing the cause) when the address cannot be bound.
  bool Start(const SocketAddress& listen);
  // The bound address.
  const SocketAddress& address() const { return address_; }
  // Closes the listener and every connection, cutting requests in flight; joins the threads.
  // Idempotent.
  void Stop();

 private:
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
  SocketAddress address_;
};

// @return the whole number given as query parameter `name`, or `otherwise`.
std::uint64_t NumberParameter(const httplib::Request& request, const char* name,
                              std::uint64_t otherwise);

// @return the descriptor of the connection that `request` came on; -1 when it is gone.
int SocketOf(const httplib::Request& request);

// @return true when the peer has closed or reset the connection of `socket`.
bool IsPeerGone(int socket);

// Closes the connection under a handler: nothing more reaches the peer.
void CloseConnection(int socket);

// Blocks until SIGTERM or SIGINT. Call BlockStopSignals first, before any thread starts.
void BlockStopSignals();
void WaitForStopSignal();

}  // namespace copperlead::standin
