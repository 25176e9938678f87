#include "transport/reactor.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <exception>
#include <future>

namespace copperlead {
namespace {

constexpr int kEventsPerWait = 256;
constexpr int kMaxWaitMs = 60'000;
constexpr Reactor::WatchId kWakeupId = 0;

epoll_event MakeEvent(Reactor::WatchId id, std::uint32_t events) {
  epoll_event event{};
  event.events = events;
  event.data.u64 = id;
  return event;
}

}  // namespace

Result<std::shared_ptr<Reactor>> Reactor::Start() {
  Socket epoll(epoll_create1(EPOLL_CLOEXEC));
  Socket wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!epoll.open() || !wakeup.open()) {
    return Fail(ErrorKind::kInternal, "reactor", std::strerror(errno));
  }
  std::shared_ptr<Reactor> reactor(new Reactor(std::move(epoll), std::move(wakeup)));
  reactor->thread_ = std::thread([pointer = reactor.get()] { pointer->Run(); });
  return reactor;
}

Reactor::Reactor(Socket epoll, Socket wakeup)
    : epoll_(std::move(epoll)), wakeup_(std::move(wakeup)) {
  epoll_event event = MakeEvent(kWakeupId, EPOLLIN);
  epoll_ctl(epoll_.descriptor(), EPOLL_CTL_ADD, wakeup_.descriptor(), &event);
}

Reactor::~Reactor() { Stop(); }

void Reactor::Post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    posted_.push_back(std::move(task));
    if (posted_.size() > 1) return;  // The first task in the queue has already woken the thread.
  }
  Wake();
}

void Reactor::RunAndWait(const Task& task) {
  if (IsCurrentThread()) return task();
  std::promise<void> done;
  bool queued = false;
  {
    const std::lock_guard lock(mutex_);
    queued = !stopping_;
    if (queued) {
      posted_.emplace_back([&] {
        Call(task);
        done.set_value();
      });
    }
  }
  if (!queued) {
    Stop();
    return task();
  }
  Wake();
  done.get_future().wait();
}

bool Reactor::IsCurrentThread() const { return std::this_thread::get_id() == thread_id_.load(); }

Reactor::WatchId Reactor::Watch(const Socket& socket, std::uint32_t events, Handler handler) {
  const WatchId id = ++last_id_;
  handlers_.emplace(id, std::make_shared<const Handler>(std::move(handler)));
  epoll_event event = MakeEvent(id, events);
  epoll_ctl(epoll_.descriptor(), EPOLL_CTL_ADD, socket.descriptor(), &event);
  return id;
}

void Reactor::ModifyWatch(WatchId id, const Socket& socket, std::uint32_t events) {
  epoll_event event = MakeEvent(id, events);
  epoll_ctl(epoll_.descriptor(), EPOLL_CTL_MOD, socket.descriptor(), &event);
}

void Reactor::Unwatch(WatchId id, const Socket& socket) {
  handlers_.erase(id);
  epoll_ctl(epoll_.descriptor(), EPOLL_CTL_DEL, socket.descriptor(), nullptr);
}

void Reactor::RunAt(Timestamp when, Task task) { timers_.emplace(when, std::move(task)); }

void Reactor::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  Wake();
  const std::lock_guard lock(stop_mutex_);
  if (!thread_.joinable()) return;
  thread_.join();
  DestroyWatchesAndTimers();
}

// Watches and timers may own an object that in turn owns this reactor; destroying them breaks the
// cycle. None of them runs after Stop().
void Reactor::DestroyWatchesAndTimers() {
  const auto handlers = std::move(handlers_);
  const auto timers = std::move(timers_);
  handlers_.clear();
  timers_.clear();
}

void Reactor::Run() {
  thread_id_ = std::this_thread::get_id();
  std::array<epoll_event, kEventsPerWait> events;
  while (true) {
    const int count =
        epoll_wait(epoll_.descriptor(), events.data(), kEventsPerWait, WaitMilliseconds());
    for (int index = 0; index < count; ++index) {
      const epoll_event& event = events[static_cast<std::size_t>(index)];
      Dispatch(event.data.u64, event.events);
    }
    RunPosted();
    RunDueTimers();
    const std::lock_guard lock(mutex_);
    if (stopping_ && posted_.empty()) return;
  }
}

int Reactor::WaitMilliseconds() {
  if (timers_.empty()) return kMaxWaitMs;
  const Duration remaining = timers_.begin()->first - SteadyClock().Now();
  const auto rounded_up = std::chrono::ceil<Milliseconds>(remaining).count();
  return static_cast<int>(std::clamp<std::int64_t>(rounded_up, 0, kMaxWaitMs));
}

void Reactor::RunPosted() {
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (const Task& task : tasks) Call(task);
}

void Reactor::Call(const Task& handler) {
  CallGuarded(handler);
  while (!callbacks_->empty()) CallGuarded([this] { callbacks_->RunNext(); });
}

void Reactor::CallGuarded(const Task& task) {
  if (!report_exception_) return task();
  try {
    task();
  } catch (const std::exception& error) {
    report_exception_(error.what());
  }
}

void Reactor::RunDueTimers() {
  // Removes all due timers before it runs any of them: a timer that a task sets to a past time then
  // runs in the next iteration, after the sockets have been served.
  const auto end = timers_.upper_bound(SteadyClock().Now());
  std::vector<Task> due;
  for (auto timer = timers_.begin(); timer != end; ++timer) due.push_back(std::move(timer->second));
  timers_.erase(timers_.begin(), end);
  for (const Task& task : due) Call(task);
}

void Reactor::Dispatch(WatchId id, std::uint32_t events) {
  if (id == kWakeupId) {
    std::uint64_t count = 0;
    while (read(wakeup_.descriptor(), &count, sizeof(count)) > 0) {
    }
    return;
  }
  const auto found = handlers_.find(id);
  if (found == handlers_.end()) return;
  // The copy keeps the handler alive when it calls Unwatch() for its own watch.
  const std::shared_ptr<const Handler> handler = found->second;
  Call([&] { (*handler)(events); });
}

void Reactor::Wake() {
  const std::uint64_t one = 1;
  // The write fails only when the eventfd counter is at its limit, and then the descriptor is
  // readable and the thread wakes anyway.
  [[maybe_unused]] const auto written = write(wakeup_.descriptor(), &one, sizeof(one));
}

}  // namespace copperlead
