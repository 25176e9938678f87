// The platform's watch over the memory of its processes: one that uses more than its machine has is
// killed.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace copperlead::standin {

// A process that is watched.
struct WatchedProcess {
  std::string ip;  // Its machine's.
  pid_t pid = -1;
  std::size_t limit_bytes = 0;
};

class MemoryWatch {
 public:
  // @param processes  returns those that are running now; called on the watch's thread
  explicit MemoryWatch(std::function<std::vector<WatchedProcess>()> processes);
  ~MemoryWatch();
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  // The most memory that the process of a machine has used, unread bytes of its connections
  // included.
  std::size_t PeakOf(const std::string& ip) const;
  std::size_t Peak() const;
  int kills() const { return kills_; }

 private:
  void Run();
  void Look();
  void CountUnread(const std::vector<WatchedProcess>& processes);

  const std::function<std::vector<WatchedProcess>()> processes_;
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> peaks_;  // Guarded by mutex_.
  std::map<pid_t, std::size_t> unread_;       // As of the last count.
  int looks_ = 0;
  std::atomic<int> kills_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace copperlead::standin
