// Runs an Agent on a thread: queues its events, delivers its timers and carries out its actions.
// All decisions are made by the Agent.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "base/time.h"
#include "distribution/agent.h"

namespace copperlead {

// Handlers for the agent's actions. They are called on the shell's thread; all except after_step
// are called without holding the agent's lock.
struct ActionSinks {
  std::function<void(const SendMessage&)> send;
  std::function<void(const FetchFromSource&)> fetch;
  std::function<void(const ActivateBundle&)> activate_bundle;
  std::function<void(const ActivateMachines&)> activate_machines;
  std::function<void(const Report&)> report;
  // Called after each step, while the agent is locked; the step may have changed the membership
  // view.
  std::function<void(const Agent&)> after_step;
};

class AgentShell {
 public:
  AgentShell(const Clock& clock, ActionSinks sinks);
  ~AgentShell();
  AgentShell(const AgentShell&) = delete;
  AgentShell& operator=(const AgentShell&) = delete;

  // Starts the thread, which then delivers the events that were posted earlier. Must be called
  // once.
  void Start(std::unique_ptr<Agent> agent);
  // Stops the thread and drops the events that are still queued. Idempotent.
  void Stop();

  // Queues an event without waiting for the agent. When the queue holds kMaxQueuedEvents, messages
  // are dropped, from which the protocol recovers, and other events are still queued. May be called
  // on any thread.
  void Post(Event event);

  // Calls `reader` with the agent while no step is running. Must be called after Start(), on any
  // thread other than the shell's own.
  template <class Reader>
  auto Inspect(Reader&& reader) const {
    const std::lock_guard lock(agent_mutex_);
    return std::forward<Reader>(reader)(static_cast<const Agent&>(*agent_));
  }

  std::uint64_t dropped_events() const;

 private:
  void Run();
  // Waits for the next event.
  // @param event receives the event, or TimerFired when the deadline is reached first.
  // @return false when the shell is stopping.
  bool WaitForEvent(Timestamp deadline, Event& event);
  std::vector<Action> Step(const Event& event);
  void CarryOut(const Action& action) const;

  const Clock& clock_;
  const ActionSinks sinks_;

  mutable std::mutex agent_mutex_;
  std::unique_ptr<Agent> agent_;  // Guarded by agent_mutex_.

  mutable std::mutex queue_mutex_;
  std::condition_variable queue_changed_;
  std::deque<Event> queue_;           // Guarded by queue_mutex_.
  bool stopping_ = false;             // Guarded by queue_mutex_.
  std::uint64_t dropped_events_ = 0;  // Guarded by queue_mutex_.

  std::thread thread_;
};

inline constexpr std::size_t kMaxQueuedEvents = 10'000;

}  // namespace copperlead
