// A thread pool with one thread for each open connection. A thread whose connection has ended is
// kept for some time for the next one. Some spare threads are started in advance, because the
// system may make a newly started thread wait for a core. Stacks are small, because a node may run
// about a thousand threads.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

#include "base/time.h"

namespace copperlead {

// Thread-safe.
class ConnectionThreads {
 public:
  using Job = std::function<void()>;

  explicit ConnectionThreads(std::size_t max_threads);
  // Waits until all jobs have ended.
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  // Runs `job` in a thread of its own.
  // @param allow_one_extra true: the job may start one thread more than the limit.
  // @return false when all threads are busy or the system cannot start another; `job` is not run
  //         then.
  bool Run(const Job& job, bool allow_one_extra = false);
  // Waits until every job has ended. @return false when `limit` passes first.
  bool WaitUntilIdle(Duration limit);

 private:
  static void* ThreadMain(void* self);
  void Work();
  bool StartThread();
  void StartSpareThreads();

  const std::size_t max_threads_;
  std::mutex mutex_;  // Guards the members below.
  std::condition_variable job_added_;
  std::condition_variable thread_ended_;
  std::condition_variable job_ended_;
  std::deque<Job> jobs_;
  std::size_t threads_ = 0;
  std::size_t idle_threads_ = 0;
  bool stopping_ = false;
};

}  // namespace copperlead
