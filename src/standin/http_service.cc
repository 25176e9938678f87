#include "standin/http_service.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <httplib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

namespace copperlead::standin {
namespace {

constexpr int kBacklog = 1024;
constexpr std::size_t kRequestsPerConnection = 1000000;

// Remote port of a connected IP socket; 0 when it is none.
std::uint16_t RemotePort(int socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getpeername(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0) return 0;
  if (address.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
  }
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return 0;
}

std::uint16_t LocalPort(int socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0) return 0;
  if (address.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
}

// Calls `visit` with each connected IP socket of this process.
void ForEachConnection(const std::function<void(int)>& visit) {
  DIR* directory = opendir("/proc/self/fd");
  if (directory == nullptr) return;
  while (const dirent* entry = readdir(directory)) {
    const int socket = std::atoi(entry->d_name);
    if (socket > 2 && RemotePort(socket) != 0) visit(socket);
  }
  closedir(directory);
}

}  // namespace

HttpService::HttpService(std::size_t threads) : server_(std::make_unique<httplib::Server>()) {
  server_->new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  server_->set_keep_alive_max_count(kRequestsPerConnection);
  server_->set_keep_alive_timeout(60);
  server_->set_read_timeout(60);
  server_->set_write_timeout(60);
  server_->set_tcp_nodelay(true);
}

HttpService::~HttpService() { Stop(); }

bool HttpService::Start(const SocketAddress& listen_address) {
  int listener = -1;
  // No SO_REUSEPORT (the library's default), so that an occupied port is an error.
  server_->set_socket_options([&listener](int socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listener = socket;
  });
  int port = listen_address.port;
  if (port == 0) {
    port = server_->bind_to_any_port(listen_address.ip);
  } else if (!server_->bind_to_port(listen_address.ip, port)) {
    port = -1;
  }
  if (port <= 0) {
    std::cerr << "copperlead-standin: cannot bind " << ToString(listen_address) << "\n";
    return false;
  }
  listen(listener, kBacklog);  // The library asks for a backlog of 5.
  address_ = {listen_address.ip, static_cast<std::uint16_t>(port)};
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  while (!server_->is_running()) std::this_thread::yield();
  return true;
}

void HttpService::Stop() {
  if (!thread_.joinable()) return;
  server_->stop();
  // The library's threads wait on idle connections until these time out.
  ForEachConnection([this](int socket) {
    if (LocalPort(socket) == address_.port) CloseConnection(socket);
  });
  thread_.join();
}

std::uint64_t NumberParameter(const httplib::Request& request, const char* name,
                              std::uint64_t otherwise) {
  if (!request.has_param(name)) return otherwise;
  return std::strtoull(request.get_param_value(name).c_str(), nullptr, 10);
}

int SocketOf(const httplib::Request& request) {
  int found = -1;
  ForEachConnection([&](int socket) {
    if (RemotePort(socket) == request.remote_port && LocalPort(socket) == request.local_port) {
      found = socket;
    }
  });
  return found;
}

bool IsPeerGone(int socket) {
  if (socket < 0) return true;
  char byte = 0;
  const auto count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) return false;
  return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void CloseConnection(int socket) {
  if (socket >= 0) shutdown(socket, SHUT_RDWR);
}

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const auto signals = StopSignals();
  int received = 0;
  while (sigwait(&signals, &received) != 0) {
  }
}

}  // namespace copperlead::standin
