// The fault that a fault proxy injects now, and its counters.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace copperlead::standin {

enum class FaultKind {
  kNone,
  kCut,            // TCP: connections, old and new, are reset. UDP: datagrams are lost.
  kFreeze,         // TCP: bytes wait. UDP: datagrams are lost.
  kDelay,          // Every piece waits for `wait`.
  kReset,          // TCP: the connection is reset once `after` bytes have passed.
  kDrop,           // `percent` of new connections are reset, of datagrams lost.
  kStopAccepting,  // TCP: new connections wait in the backlog.
  kRefuse,         // TCP: new connections are refused.
};

// Forward is from callers to the target. A cut of one direction stalls TCP in it, as lost packets
// would; it does not reset connections.
enum class FaultDirection { kBoth, kForward, kBackward };

struct Fault {
  FaultKind kind = FaultKind::kNone;
  FaultDirection direction = FaultDirection::kBoth;
  std::chrono::milliseconds wait{0};
  std::uint64_t after = 0;           // Counted per connection from the moment the fault was set.
  std::uint64_t times = UINT64_MAX;  // Connections that kReset ends; later ones pass.
  std::uint32_t percent = 0;
  bool gentle = false;  // kReset ends connections by FIN, not by RST.
  // Senders (IP) of the datagrams that the fault is for; empty: all. TCP shows no sender that could
  // be told by its IP on loopback: the fault is for all of it.
  std::string only_from;
  std::string except_from;

  bool CoversSender(const std::string& ip) const {
    return (only_from.empty() || ip == only_from) && (except_from.empty() || ip != except_from);
  }

  bool Covers(FaultDirection way) const {
    return direction == FaultDirection::kBoth || direction == way;
  }
  // Bytes and datagrams of this direction must wait or be lost.
  bool Stops(FaultDirection way) const {
    if (kind == FaultKind::kFreeze) return Covers(way);
    return kind == FaultKind::kCut && direction != FaultDirection::kBoth && Covers(way);
  }
  bool CutsBoth() const { return kind == FaultKind::kCut && direction == FaultDirection::kBoth; }
};

// Shared by all threads of a fault proxy. Thread-safe.
class FaultBoard {
 public:
  struct View {
    Fault fault;
    std::uint64_t number = 0;  // Rises with each Set.
  };

  void Set(const Fault& fault) {
    const std::lock_guard lock(mutex_);
    view_.fault = fault;
    ++view_.number;
  }
  View Get() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }
  // Lets no byte pass on connections that are open now, without ending them; later ones work.
  void SilenceOpenConnections() {
    const std::lock_guard lock(mutex_);
    silenced_before_ = ++view_.number;
  }
  // @param opened  the number of the view at which the connection was opened
  bool IsSilenced(std::uint64_t opened) const {
    const std::lock_guard lock(mutex_);
    return opened < silenced_before_;
  }
  // Takes one of the fault's `times`. @return false when none is left.
  bool TakeTime() {
    const std::lock_guard lock(mutex_);
    if (view_.fault.times == 0) return false;
    if (view_.fault.times != UINT64_MAX) --view_.fault.times;
    return true;
  }
  // @return true for `percent` of the calls, evenly spread.
  bool TakeDrop(std::uint32_t percent) {
    const std::lock_guard lock(mutex_);
    drop_credit_ += percent;
    if (drop_credit_ < 100) return false;
    drop_credit_ -= 100;
    return true;
  }

  std::atomic<std::uint64_t> connections{0};
  std::atomic<std::uint64_t> resets{0};
  std::atomic<std::uint64_t> forward_bytes{0};
  std::atomic<std::uint64_t> backward_bytes{0};
  std::atomic<std::uint64_t> datagrams{0};
  std::atomic<std::uint64_t> lost_datagrams{0};

 private:
  mutable std::mutex mutex_;
  View view_;                          // Guarded by mutex_.
  std::uint64_t silenced_before_ = 0;  // Guarded by mutex_.
  std::uint32_t drop_credit_ = 0;      // Guarded by mutex_.
};

}  // namespace copperlead::standin
