// One thread that waits for many sockets and timers (epoll). Every transport of a process may share
// one.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "transport/socket.h"

namespace copperlead {

class Reactor {
 public:
  using Task = std::function<void()>;
  // @param events the EPOLL* bits that came.
  using Handler = std::function<void(std::uint32_t events)>;
  // Names one watch; never used twice, so that an event for a closed socket finds nobody.
  using WatchId = std::uint64_t;

  // @return kInternal when the system has no descriptor left.
  static Result<std::shared_ptr<Reactor>> Start();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // Runs the task on the reactor's thread, soon. Any thread. After Stop() it is dropped.
  void Post(Task task);
  // Runs the task on the reactor's thread and waits for its end (at once when called there).
  // After Stop() it runs on the caller's thread. Any thread.
  void RunAndWait(const Task& task);
  // True on the reactor's thread.
  bool IsCurrentThread() const;

  // The following are for the reactor's thread only.
  WatchId Watch(const Socket& socket, std::uint32_t events, Handler handler);
  void Change(WatchId id, const Socket& socket, std::uint32_t events);
  // To be called before the socket is closed. Safe within the watch's own handler.
  void Unwatch(WatchId id, const Socket& socket);
  void RunAt(Timestamp when, Task task);

  // Ends the thread after the task that runs, and drops watches and timers with what they own.
  // Idempotent; not from the reactor's thread.
  void Stop();

 private:
  Reactor(Socket epoll, Socket wakeup);

  void Run();
  int WaitMilliseconds();
  void RunPosted();
  void RunDueTimers();
  void Dispatch(WatchId id, std::uint32_t events);
  void DropAll();
  void Wake();

  const Socket epoll_;
  const Socket wakeup_;  // An eventfd.

  // Of the reactor's thread.
  std::unordered_map<WatchId, std::shared_ptr<const Handler>> handlers_;
  std::multimap<Timestamp, Task> timers_;
  WatchId last_id_ = 0;

  std::mutex mutex_;  // Guards the next two.
  std::vector<Task> posted_;
  bool stopping_ = false;

  std::atomic<std::thread::id> thread_id_;
  std::mutex stop_mutex_;  // Only one thread joins.
  std::thread thread_;
};

}  // namespace copperlead
