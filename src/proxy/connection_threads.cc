#include "proxy/connection_threads.h"

#include <pthread.h>

#include <chrono>
#include <exception>
#include <utility>

#include "base/logging.h"

namespace copperlead {
namespace {

// Reserved address space; a page becomes resident when it is first touched.
constexpr std::size_t kStackBytes = std::size_t{256} * 1024;
constexpr std::chrono::seconds kIdleThreadTimeout{10};
constexpr std::size_t kSpareThreads = 16;

void RunGuarded(const ConnectionThreads::Job& job) {
  try {
    job();
  } catch (const std::exception& exception) {
    LogError(LogLevel::kError, ErrorKind::kInternal, "connection", exception.what());
  }
}

}  // namespace

ConnectionThreads::ConnectionThreads(std::size_t max_threads) : max_threads_(max_threads) {
  const std::lock_guard lock(mutex_);
  StartSpareThreads();
}

ConnectionThreads::~ConnectionThreads() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  job_added_.notify_all();
  thread_ended_.wait(lock, [this] { return threads_ == 0; });
}

bool ConnectionThreads::Run(const Job& job, bool allow_one_extra) {
  const std::lock_guard lock(mutex_);
  if (idle_threads_ <= jobs_.size()) {
    const std::size_t limit = max_threads_ + (allow_one_extra ? 1 : 0);
    if (threads_ >= limit || !StartThread()) return false;
  }
  jobs_.push_back(job);
  job_added_.notify_one();
  StartSpareThreads();
  return true;
}

bool ConnectionThreads::WaitUntilIdle(Duration limit) {
  std::unique_lock lock(mutex_);
  return job_ended_.wait_for(lock, limit,
                             [this] { return jobs_.empty() && idle_threads_ == threads_; });
}

// The caller holds the lock.
void ConnectionThreads::StartSpareThreads() {
  while (idle_threads_ < jobs_.size() + kSpareThreads && threads_ < max_threads_) {
    if (!StartThread()) return;
  }
}

// The caller holds the lock. The new thread counts as idle until it takes a job.
bool ConnectionThreads::StartThread() {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread{};
  const int error = pthread_create(&thread, &attributes, &ConnectionThreads::ThreadMain, this);
  pthread_attr_destroy(&attributes);
  if (error != 0) return false;
  ++threads_;
  ++idle_threads_;
  return true;
}

void* ConnectionThreads::ThreadMain(void* self) {
  static_cast<ConnectionThreads*>(self)->Work();
  return nullptr;
}

void ConnectionThreads::Work() {
  std::unique_lock lock(mutex_);
  for (;;) {
    const bool notified = job_added_.wait_for(lock, kIdleThreadTimeout,
                                              [this] { return stopping_ || !jobs_.empty(); });
    if (jobs_.empty()) {
      const bool spare = !notified && idle_threads_ <= kSpareThreads;
      if (spare && !stopping_) continue;
      break;
    }
    Job job = std::move(jobs_.front());
    jobs_.pop_front();
    --idle_threads_;
    lock.unlock();
    RunGuarded(job);
    job = nullptr;
    lock.lock();
    ++idle_threads_;
    if (idle_threads_ == threads_) job_ended_.notify_all();
  }
  --idle_threads_;
  --threads_;
  if (idle_threads_ == threads_) job_ended_.notify_all();
  // Notifies under the lock: the object may be destroyed as soon as the lock is released.
  thread_ended_.notify_all();
}

}  // namespace copperlead
