// An event loop on one thread that serves many sockets and timers with epoll. All transports of a
// process may share one. After each handler, task and timer it runs the callbacks that this one
// queued.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "base/callback_queue.h"
#include "base/result.h"
#include "base/time.h"
#include "transport/socket.h"

namespace copperlead {

class Reactor {
 public:
  using Task = std::function<void()>;
  // @param events the EPOLL* bits that were reported.
  using Handler = std::function<void(std::uint32_t events)>;
  // Identifies one watch. Ids are never reused, so a pending event for a closed socket is ignored
  // instead of reaching a newer watch with the same descriptor.
  using WatchId = std::uint64_t;

  // @return the running reactor, or kInternal when the system has no free descriptor.
  static Result<std::shared_ptr<Reactor>> Start();
  ~Reactor();
  Reactor(const Reactor&) = delete;
  Reactor& operator=(const Reactor&) = delete;

  // Queues the task to run on the reactor's thread. After Stop() it is discarded. May be called on
  // any thread.
  void Post(Task task);
  // Runs the task on the reactor's thread and waits for its completion. When called on that thread,
  // runs it immediately; after Stop(), runs it on the calling thread. May be called on any thread.
  void RunAndWait(const Task& task);
  // @return true when called on the reactor's thread.
  bool IsCurrentThread() const;

  // The queue of the callbacks that run after the current handler. To be used on the reactor's
  // thread.
  const std::shared_ptr<CallbackQueue>& callbacks() const { return callbacks_; }

  // Sets what is called with the text of an exception that leaves a handler, a task, a timer or a
  // callback; the reactor then goes on with the next one. Without it, such an exception ends the
  // process. Must be called on the reactor's thread.
  void OnException(std::function<void(const std::string&)> report) {
    report_exception_ = std::move(report);
  }

  // Watch(), ModifyWatch(), Unwatch() and RunAt() must be called on the reactor's thread.
  WatchId Watch(const Socket& socket, std::uint32_t events, Handler handler);
  void ModifyWatch(WatchId id, const Socket& socket, std::uint32_t events);
  // Must be called before the socket is closed. May be called from the watch's own handler.
  void Unwatch(WatchId id, const Socket& socket);
  void RunAt(Timestamp when, Task task);

  // Runs the tasks that are already queued, ends the thread, and destroys all watches and timers
  // with the objects they own. Idempotent. Must not be called on the reactor's thread.
  void Stop();

 private:
  Reactor(Socket epoll, Socket wakeup);

  void Run();
  // Runs a handler, and then the callbacks that it has queued.
  void Call(const Task& handler);
  void CallGuarded(const Task& task);
  int WaitMilliseconds();
  void RunPosted();
  void RunDueTimers();
  void Dispatch(WatchId id, std::uint32_t events);
  void DestroyWatchesAndTimers();
  void Wake();

  const Socket epoll_;
  const Socket wakeup_;  // Eventfd that wakes the thread from epoll_wait().

  // These members are used on the reactor's thread only.
  std::unordered_map<WatchId, std::shared_ptr<const Handler>> handlers_;
  std::multimap<Timestamp, Task> timers_;
  WatchId last_id_ = 0;
  const std::shared_ptr<CallbackQueue> callbacks_ = std::make_shared<CallbackQueue>();
  std::function<void(const std::string&)> report_exception_;

  std::mutex mutex_;  // Guards posted_ and stopping_.
  std::vector<Task> posted_;
  bool stopping_ = false;

  std::atomic<std::thread::id> thread_id_;
  std::mutex stop_mutex_;  // Ensures that only one thread joins thread_.
  std::thread thread_;
};

}  // namespace copperlead
