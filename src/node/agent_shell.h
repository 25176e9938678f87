// The thread that drives an Agent: collects events, delivers timers, carries out actions.
// A thin shell; every decision is the Agent's.
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

// Where actions go. Called from the shell's thread, without its lock.
struct ActionSinks {
  std::function<void(const SendMessage&)> send;
  std::function<void(const FetchFromSource&)> fetch;
  std::function<void(const ActivateBundle&)> activate_bundle;
  std::function<void(const ActivateMachines&)> activate_machines;
  std::function<void(const Report&)> report;
  // After each step that may have changed the membership view.
  std::function<void(const Agent&)> after_step;
};

class AgentShell {
 public:
  AgentShell(const Clock& clock, ActionSinks sinks);
  ~AgentShell();
  AgentShell(const AgentShell&) = delete;
  AgentShell& operator=(const AgentShell&) = delete;

  // Starts driving `agent`. Events posted before are delivered now. Call once.
  void Start(std::unique_ptr<Agent> agent);
  // Stops the thread; events not yet taken are dropped. Idempotent.
  void Stop();

  // Queues an event; never blocks. When kMaxQueuedEvents wait, messages are dropped (the protocol
  // repairs losses) and other events are kept. Any thread.
  void Post(Event event);

  // Runs `reader` on the agent while no step runs. Only after Start(); any thread but the shell's
  // own.
  template <class Reader>
  auto Inspect(Reader&& reader) const {
    const std::lock_guard lock(agent_mutex_);
    return std::forward<Reader>(reader)(static_cast<const Agent&>(*agent_));
  }

  std::uint64_t dropped_events() const;

 private:
  void Run();
  // @return the next event, or TimerFired when the deadline came first; false when stopping.
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
