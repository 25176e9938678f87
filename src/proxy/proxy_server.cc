#include "proxy/proxy_server.h"

#include <fcntl.h>
#include <httplib.h>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include "base/logging.h"
#include "proxy/caller_connection.h"
#include "proxy/connection_threads.h"
#include "proxy/start_proxy_server.h"

namespace copperlead {
namespace {

// The library's own backlog, 5, loses connections when many arrive together.
constexpr int kListenBacklog = 1024;
constexpr int kStopCheckMicroseconds = 100'000;
// Time between repeated shutdowns of connections after the drain limit.
constexpr Duration kForcedCloseInterval = std::chrono::milliseconds(100);
constexpr Duration kMinEvictionWait = std::chrono::seconds(1);

// Set in the accepting thread while it handles a connection for which no thread is available.
thread_local bool reject_connection = false;

// Raises the soft limit of descriptors to the hard limit. A node uses two descriptors for each
// request, for which the usual soft limit of 1,024 is too low.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

// Uses only the listener of cpp-httplib; ServeConnection() serves the connections.
class Listener : public httplib::Server {
 public:
  using Handler = std::function<void(int fd)>;

  explicit Listener(Handler handler) : handler_(std::move(handler)) {
    set_socket_options([this](socket_t fd) {
      // The library's default, SO_REUSEPORT, would hide that the address is in use.
      const int on = 1;
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
      bound_fd_ = fd;
    });
    set_idle_interval(0, kStopCheckMicroseconds);
  }

  // @return the port; -1 when the address cannot be bound.
  int Bind(const SocketAddress& address) {
    int port = address.port;
    if (port == 0) {
      port = bind_to_any_port(address.ip);
    } else if (!bind_to_port(address.ip, port)) {
      port = -1;
    }
    if (port <= 0 || ::listen(bound_fd_, kListenBacklog) != 0) return -1;
    return port;
  }

  // Accepts until StopAccepting(). The library stops on transient errors (ECONNABORTED among them)
  // and closes its descriptor. Therefore it gets a duplicate and is restarted.
  void Accept() {
    while (!stopping_) {
      svr_sock_ = dup(bound_fd_);
      if (stopping_) break;
      listen_after_bind();
    }
    const int left = svr_sock_.exchange(INVALID_SOCKET);
    if (left >= 0) close(left);
  }

  // Makes Accept() return shortly afterwards. Connections in the backlog stay there.
  void StopAccepting() {
    stopping_ = true;
    const int fd = svr_sock_.exchange(INVALID_SOCKET);
    if (fd >= 0) stopped_fd_ = fd;
  }

  // Serves the connections left in the backlog and closes the listening socket. Call it after
  // Accept() has returned.
  void CloseListener(const Handler& serve) {
    fcntl(bound_fd_, F_SETFL, fcntl(bound_fd_, F_GETFL, 0) | O_NONBLOCK);
    for (;;) {
      const int fd = accept4(bound_fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      serve(fd);
    }
    if (stopped_fd_ >= 0) close(stopped_fd_);
    close(bound_fd_);
  }

 private:
  bool process_and_close_socket(socket_t fd) override {
    handler_(fd);
    return true;
  }

  Handler handler_;
  int bound_fd_ = -1;
  int stopped_fd_ = -1;
  std::atomic<bool> stopping_ = false;
};

// Passes the connections that the library accepts to ConnectionThreads.
class ConnectionQueue : public httplib::TaskQueue {
 public:
  ConnectionQueue(std::function<void(const std::function<void()>&)> run,
                  std::function<void()> on_idle_callback)
      : run_(std::move(run)), on_idle_callback_(std::move(on_idle_callback)) {}

  void enqueue(std::function<void()> job) override { run_(job); }
  void shutdown() override {}
  void on_idle() override { on_idle_callback_(); }

 private:
  std::function<void(const std::function<void()>&)> run_;
  std::function<void()> on_idle_callback_;
};

class HttplibProxyServer : public ProxyServer {
 public:
  HttplibProxyServer(const ProxySettings& settings, RequestDecider decider)
      : context_(settings, std::move(decider)),
        address_(settings.listen),
        drain_fd_(eventfd(0, EFD_CLOEXEC)),
        listener_([this](int fd) { Serve(fd); }),
        threads_(settings.max_connections) {
    listener_.new_task_queue = [this] {
      return new ConnectionQueue([this](const ConnectionThreads::Job& job) { Run(job); },
                                 [this] { context_.pool.CloseExpired(SteadyClock().Now()); });
    };
  }

  ~HttplibProxyServer() override {
    if (accepting_.joinable()) HttplibProxyServer::Drain(Duration::zero());
    close(drain_fd_);
  }

  bool Start() {
    const int port = listener_.Bind(address_);
    if (port <= 0) return false;
    address_.port = static_cast<std::uint16_t>(port);
    accepting_ = std::thread([this] { listener_.Accept(); });
    return true;
  }

  SocketAddress local_address() const override { return address_; }

  ProxyCounters counters() const override {
    return {registry_.size(), context_.answered, context_.pool.open_connections()};
  }

  bool Drain(Duration limit) override {
    const std::lock_guard lock(drain_mutex_);
    if (!accepting_.joinable()) return true;
    const Timestamp end = SteadyClock().Now() + limit;
    context_.draining = true;
    listener_.StopAccepting();
    accepting_.join();
    listener_.CloseListener([this](int fd) { Run([this, fd] { Serve(fd); }); });
    eventfd_write(drain_fd_, 1);
    const Duration left = std::max(end - SteadyClock().Now(), Duration::zero());
    const bool ended = threads_.WaitUntilIdle(left);
    const std::size_t aborted = ended ? 0 : registry_.ShutDownAll();
    if (aborted > 0)
      LogError(LogLevel::kWarning, ErrorKind::kDraining, "proxy",
               "drain limit reached; requests in flight aborted");
    while (!threads_.WaitUntilIdle(kForcedCloseInterval)) registry_.ShutDownAll();
    context_.pool.CloseIdle();
    return aborted == 0;
  }

 private:
  ConnectionServices services() { return {context_, registry_, closer_, drain_fd_}; }

  void Serve(int fd) {
    if (reject_connection) {
      RefuseConnection(services(), fd);
    } else {
      ServeConnection(services(), fd);
    }
  }

  // Runs a connection in a pool thread, or refuses it in the calling thread.
  void Run(const ConnectionThreads::Job& job) {
    context_.pool.CloseExpired(SteadyClock().Now());
    if (threads_.Run(job)) return;
    if (registry_.EvictLongestWaiting(kMinEvictionWait) && threads_.Run(job, true)) return;
    reject_connection = true;
    job();
    reject_connection = false;
  }

  ProxyContext context_;
  SocketAddress address_;
  const int drain_fd_;
  ConnectionRegistry registry_;
  LingeringCloser closer_;
  Listener listener_;
  std::thread accepting_;
  std::mutex drain_mutex_;
  ConnectionThreads threads_;  // Destroyed first: its threads use all members above.
};

}  // namespace

Result<std::unique_ptr<ProxyServer>> StartProxyServerWith(const ProxySettings& settings,
                                                          RequestDecider decider) {
  RaiseDescriptorLimit();
  auto server = std::make_unique<HttplibProxyServer>(settings, std::move(decider));
  if (!server->Start()) {
    return Fail(ErrorKind::kAddressInUse, ToString(settings.listen), "cannot listen there");
  }
  return std::unique_ptr<ProxyServer>(std::move(server));
}

}  // namespace copperlead
