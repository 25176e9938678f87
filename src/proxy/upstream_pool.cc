#include "proxy/upstream_pool.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace copperlead {
namespace {

constexpr Duration kExpiryInterval = std::chrono::seconds(1);

Timestamp Now() { return SteadyClock().Now(); }

// Converts `address` for the socket API. @return the size of the result; 0 when `address.ip` is not
// numeric.
socklen_t ToSystemAddress(const SocketAddress& address, sockaddr_storage& storage) {
  auto* const ipv4 = reinterpret_cast<sockaddr_in*>(&storage);
  if (inet_pton(AF_INET, address.ip.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(address.port);
    return sizeof(sockaddr_in);
  }
  auto* const ipv6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (inet_pton(AF_INET6, address.ip.c_str(), &ipv6->sin6_addr) != 1) return 0;
  ipv6->sin6_family = AF_INET6;
  ipv6->sin6_port = htons(address.port);
  return sizeof(sockaddr_in6);
}

// Waits for a connect in progress. @return true when it succeeds before `end`.
bool AwaitConnected(int fd, Timestamp end) {
  for (;;) {
    const auto left = std::chrono::duration_cast<Milliseconds>(end - Now()).count() + 1;
    if (left <= 0) return false;
    pollfd descriptor{fd, POLLOUT, 0};
    const int ready = poll(&descriptor, 1, static_cast<int>(left));
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  }
}

}  // namespace

UpstreamPool::Lease::Lease(UpstreamPool& pool, std::unique_ptr<SocketStream> stream)
    : pool_(pool), stream_(std::move(stream)) {}

UpstreamPool::Lease::~Lease() {
  if (!stream_) return;
  stream_.reset();
  const std::lock_guard lock(pool_.mutex_);
  --pool_.open_connections_;
}

void UpstreamPool::Lease::ReturnToPool(const SocketAddress& address) {
  if (!stream_->IsIdleAndOpen()) return;
  stream_->ReleaseBuffer();
  const std::lock_guard lock(pool_.mutex_);
  auto& idle = pool_.idle_[address];
  if (idle.size() >= kMaxIdlePerAddress) return;
  idle.push_back({std::move(stream_), Now()});
}

std::unique_ptr<UpstreamPool::Lease> UpstreamPool::Acquire(const SocketAddress& address,
                                                           bool allow_idle,
                                                           std::optional<Timestamp> deadline) {
  auto stream = TakeIdle(address, allow_idle ? kMaxIdle : kRecentUse);
  if (!stream) {
    stream = Connect(address, deadline);
    if (!stream) return nullptr;
    const std::lock_guard lock(mutex_);
    ++open_connections_;
  }
  return std::make_unique<Lease>(*this, std::move(stream));
}

std::unique_ptr<SocketStream> UpstreamPool::TakeIdle(const SocketAddress& address,
                                                     Duration max_age) {
  const Timestamp now = Now();
  const std::lock_guard lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  auto& connections = found->second;
  while (!connections.empty()) {
    if (now - connections.back().last_used > max_age) return nullptr;
    auto stream = std::move(connections.back().stream);
    connections.pop_back();
    if (stream->IsIdleAndOpen()) return stream;
    --open_connections_;
  }
  return nullptr;
}

std::unique_ptr<SocketStream> UpstreamPool::Connect(const SocketAddress& address,
                                                    std::optional<Timestamp> deadline) const {
  sockaddr_storage storage{};
  const socklen_t size = ToSystemAddress(address, storage);
  if (size == 0) return nullptr;
  const int fd = socket(storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return nullptr;
  auto stream = std::make_unique<SocketStream>(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&storage), size) == 0) return stream;
  if (errno != EINPROGRESS) return nullptr;
  Timestamp end = Now() + connect_timeout_;
  if (deadline) end = std::min(end, *deadline);
  return AwaitConnected(fd, end) ? std::move(stream) : nullptr;
}

void UpstreamPool::CloseExpired(Timestamp now) {
  const std::lock_guard lock(mutex_);
  if (now - last_expiry_ < kExpiryInterval) return;
  last_expiry_ = now;
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    const auto removed = std::erase_if(entry->second, [&](const IdleConnection& connection) {
      return now - connection.last_used > kMaxIdle || !connection.stream->IsIdleAndOpen();
    });
    open_connections_ -= removed;
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

void UpstreamPool::CloseIdle() {
  const std::lock_guard lock(mutex_);
  for (const auto& [address, connections] : idle_) open_connections_ -= connections.size();
  idle_.clear();
}

std::uint64_t UpstreamPool::open_connections() const {
  const std::lock_guard lock(mutex_);
  return open_connections_;
}

}  // namespace copperlead
