// Threads on demand: one for each open connection, kept for a while for the next one. Some wait
// ahead of need, as the system may let a thread that was just started wait for a core. Stacks are
// small, as a node holds a thousand of them.
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
  // Waits for all jobs to end.
  ~ConnectionThreads();
  ConnectionThreads(const ConnectionThreads&) = delete;
  ConnectionThreads& operator=(const ConnectionThreads&) = delete;

  // Runs `job` in a thread of its own.
  // @param beyond_limit one more thread than the limit may run for it.
  // @return false when all threads are busy or the system gives no more; `job` was not run then.
  bool Run(const Job& job, bool beyond_limit = false);
  // Waits until every job has ended. @return false when `limit` passed before.
  bool WaitUntilIdle(Duration limit);

 private:
  static void* ThreadMain(void* self);
  void Work();
  bool StartThread();
  void StartSpareThreads();

  const std::size_t max_threads_;
  std::mutex mutex_;  // Guards what follows.
  std::condition_variable job_added_;
  std::condition_variable thread_ended_;
  std::condition_variable job_ended_;
  std::deque<Job> jobs_;
  std::size_t threads_ = 0;
  std::size_t idle_threads_ = 0;
  bool stopping_ = false;
};

}  // namespace copperlead
