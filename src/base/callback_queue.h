// Callbacks that run once the call that caused them has returned.
//
// A component that calls its caller back while it walks its own state, or before that state is
// consistent, can be changed in the middle of its work: the callback may cancel, close or start
// something. So it decides first and queues the callback; whoever runs the event loop runs the
// queue between two handlers.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <tuple>
#include <utility>

namespace copperlead {

// Not thread-safe.
class CallbackQueue {
 public:
  using Callback = std::function<void()>;

  void Add(Callback callback) { callbacks_.push_back(std::move(callback)); }
  bool empty() const { return callbacks_.empty(); }

  // Runs the callback that was added first. An exception leaves the others in the queue.
  void RunNext() {
    const Callback next = std::move(callbacks_.front());
    callbacks_.pop_front();
    next();
  }
  // Runs all callbacks, including those that are added meanwhile.
  void RunAll() {
    while (!empty()) RunNext();
  }

 private:
  std::deque<Callback> callbacks_;
};

// A caller's callback, kept by the component that is to call it. It runs once at most, from the
// queue. Copies share it.
template <class... Arguments>
class DeferredCallback {
 public:
  using Function = std::function<void(Arguments...)>;

  DeferredCallback() = default;
  DeferredCallback(std::shared_ptr<CallbackQueue> queue, Function function)
      : queue_(std::move(queue)), function_(std::make_shared<Function>(std::move(function))) {}

  // @return true when it has not been called yet.
  explicit operator bool() const { return queue_ != nullptr; }

  // Queues the call. Has no effect when it was called or cancelled before.
  void operator()(Arguments... arguments) {
    const auto queue = std::exchange(queue_, nullptr);
    if (queue == nullptr) return;
    queue->Add([function = function_, values = std::make_tuple(std::move(arguments)...)]() mutable {
      const Function called = std::exchange(*function, nullptr);
      if (called) std::apply(called, std::move(values));
    });
  }

  // It isn't called from now on, even if it is queued.
  void Cancel() {
    queue_ = nullptr;
    if (function_ != nullptr) *function_ = nullptr;
  }

 private:
  std::shared_ptr<CallbackQueue> queue_;  // Null once it has been called.
  std::shared_ptr<Function> function_;
};

}  // namespace copperlead
