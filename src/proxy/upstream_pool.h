// Connections to back ends. Opens new ones and keeps idle, reusable ones for later requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <tuple>
#include <vector>

#include "base/address.h"
#include "base/time.h"
#include "proxy/socket_stream.h"

namespace copperlead {

// Thread-safe.
class UpstreamPool {
 public:
  explicit UpstreamPool(Duration connect_timeout) : connect_timeout_(connect_timeout) {}

  // One connection, used by a single thread. The destructor closes it unless it was returned to the
  // pool.
  class Lease {
   public:
    Lease(UpstreamPool& pool, std::unique_ptr<SocketStream> stream);
    ~Lease();
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    SocketStream& stream() { return *stream_; }
    // Returns the connection to the pool. Call it only after the last response was read completely.
    void ReturnToPool(const SocketAddress& address);

   private:
    UpstreamPool& pool_;
    std::unique_ptr<SocketStream> stream_;
  };

  // @param allow_idle when false, a pooled connection must have been used within kRecentUse.
  // @param deadline time at which the caller stops waiting, if known.
  // @return null when no connection could be established; nothing was written then.
  std::unique_ptr<Lease> Acquire(const SocketAddress& address, bool allow_idle,
                                 std::optional<Timestamp> deadline);

  // Closes connections that have been idle for longer than kMaxIdle. May be called often; acts at
  // most once a second.
  void CloseExpired(Timestamp now);
  // Closes every idle connection.
  void CloseIdle();

  // Number of connections currently in use or pooled.
  std::uint64_t open_connections() const;

  static constexpr Duration kRecentUse = std::chrono::seconds(1);
  // Shorter than the 5 s after which common servers (cpp-httplib among them) close an idle
  // connection.
  static constexpr Duration kMaxIdle = std::chrono::seconds(4);
  static constexpr std::size_t kMaxIdlePerAddress = 8;

 private:
  struct IdleConnection {
    std::unique_ptr<SocketStream> stream;
    Timestamp last_used;
  };

  struct AddressOrder {
    bool operator()(const SocketAddress& left, const SocketAddress& right) const {
      return std::tie(left.port, left.ip) < std::tie(right.port, right.ip);
    }
  };

  std::unique_ptr<SocketStream> TakeIdle(const SocketAddress& address, Duration max_age);
  std::unique_ptr<SocketStream> Connect(const SocketAddress& address,
                                        std::optional<Timestamp> deadline) const;

  const Duration connect_timeout_;
  mutable std::mutex mutex_;  // Guards the members below.
  std::map<SocketAddress, std::vector<IdleConnection>, AddressOrder>
      idle_;  // Most recently used last.
  std::uint64_t open_connections_ = 0;
  Timestamp last_expiry_;
};

}  // namespace copperlead
