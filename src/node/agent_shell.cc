#include "node/agent_shell.h"

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

// Upper bound of one wait for events. When it ends with nothing due, the agent receives a
// TimerFired event and is asked for its next deadline again.
constexpr Duration kMaxWait = std::chrono::hours(1);

// Passes an action to the sink for its type.
struct SinkCaller {
  const ActionSinks& sinks;

  void operator()(const SendMessage& action) const { sinks.send(action); }
  void operator()(const FetchFromSource& action) const { sinks.fetch(action); }
  void operator()(const ActivateBundle& action) const { sinks.activate_bundle(action); }
  void operator()(const ActivateMachines& action) const { sinks.activate_machines(action); }
  void operator()(const Report& action) const { sinks.report(action); }
};

}  // namespace

AgentShell::AgentShell(const Clock& clock, ActionSinks sinks)
    : clock_(clock), sinks_(std::move(sinks)) {}

AgentShell::~AgentShell() { Stop(); }

void AgentShell::Start(std::unique_ptr<Agent> agent) {
  agent_ = std::move(agent);
  thread_ = std::thread([this] { Run(); });
}

void AgentShell::Stop() {
  {
    const std::lock_guard lock(queue_mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void AgentShell::Post(Event event) {
  {
    const std::lock_guard lock(queue_mutex_);
    const bool is_message = std::holds_alternative<MessageReceived>(event);
    if (is_message && queue_.size() >= kMaxQueuedEvents) {
      ++dropped_events_;
      return;
    }
    queue_.push_back(std::move(event));
  }
  queue_changed_.notify_one();
}

std::uint64_t AgentShell::dropped_events() const {
  const std::lock_guard lock(queue_mutex_);
  return dropped_events_;
}

bool AgentShell::WaitForEvent(Timestamp deadline, Event& event) {
  std::unique_lock lock(queue_mutex_);
  // A due timer takes precedence over queued events, so that the agent detects a pause of the
  // process before it handles messages that arrived before or during the pause.
  const auto due = [&] { return clock_.Now() >= deadline; };
  if (!due()) {
    // Waits for a duration instead of until a time point, because the clock of condition variables
    // stands still while the machine is suspended.
    queue_changed_.wait_for(lock, std::min<Duration>(deadline - clock_.Now(), kMaxWait),
                            [&] { return stopping_ || !queue_.empty(); });
  }
  if (stopping_) return false;
  if (queue_.empty() || due()) {
    event = TimerFired{};
    return true;
  }
  event = std::move(queue_.front());
  queue_.pop_front();
  return true;
}

std::vector<Action> AgentShell::Step(const Event& event) {
  const std::lock_guard lock(agent_mutex_);
  auto actions = agent_->Step(clock_.Now(), event);
  if (sinks_.after_step) sinks_.after_step(*agent_);
  return actions;
}

void AgentShell::CarryOut(const Action& action) const { std::visit(SinkCaller{sinks_}, action); }

void AgentShell::Run() {
  Event event;
  while (true) {
    const Timestamp deadline = Inspect([](const Agent& agent) { return agent.NextDeadline(); });
    if (!WaitForEvent(deadline, event)) return;
    for (const auto& action : Step(event)) CarryOut(action);
  }
}

}  // namespace copperlead
