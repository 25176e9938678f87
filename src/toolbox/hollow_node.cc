#include "toolbox/hollow_node.h"

#include <chrono>
#include <utility>

namespace copperlead {
namespace {

Timestamp Now() { return SteadyClock().Now(); }

std::int64_t WallClockMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

}  // namespace

HollowNode::HollowNode(HollowNodeSettings settings, std::shared_ptr<Reactor> reactor,
                       ActivationListener listener)
    : settings_(std::move(settings)),
      reactor_(std::move(reactor)),
      listener_(std::move(listener)) {}

Result<Done> HollowNode::Start() {
  const auto receiver = [this](const SocketAddress& from, std::shared_ptr<const Message> message) {
    Step(MessageReceived{from, std::move(message)});
  };
  BOOST_LEAF_ASSIGN(transport_,
                    StartTransport(settings_.listen, settings_.keys, receiver, reactor_));
  reactor_->Post([self = shared_from_this()] { self->StartAgent(); });
  return Done{};
}

void HollowNode::Stop() {
  std::unique_ptr<SourceClient> source;
  reactor_->RunAndWait([&] {
    agent_.reset();
    source = std::move(source_);
  });
  if (source) source->Stop();
  transport_->Stop();
}

HollowNodeState HollowNode::State() {
  HollowNodeState state;
  reactor_->RunAndWait([&] {
    if (!agent_) return;
    state.running = agent_->ledger().running();
    state.live_members = agent_->membership().LiveCount();
    state.source_reads = agent_->source().reads;
    state.is_reader = agent_->is_reader();
    state.ready = agent_->ready();
  });
  return state;
}

void HollowNode::StartAgent() {
  const Timestamp now = Now();
  const std::int64_t wall_ms = WallClockMilliseconds();
  AgentSettings agent = settings_.agent;
  agent.has_source = settings_.source.has_value();
  agent.wall_clock_offset_ms =
      wall_ms - std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
  MemberRecord self;
  self.id = settings_.id;
  self.zone = settings_.zone;
  self.address = transport_->local_address();
  self.incarnation = static_cast<std::uint32_t>(wall_ms / 1000);
  agent_ = std::make_unique<Agent>(agent, self, settings_.contacts, settings_.seed, now);
  ScheduleTimer();
}

void HollowNode::Step(const Event& event) {
  if (!agent_) return;
  for (const Action& action : agent_->Step(Now(), event)) CarryOut(action);
  ScheduleTimer();
}

void HollowNode::CarryOut(const Action& action) {
  if (const auto* send = std::get_if<SendMessage>(&action)) {
    transport_->Send(send->to, *send->message);
  } else if (const auto* fetch = std::get_if<FetchFromSource>(&action)) {
    Fetch(*fetch);
  } else if (const auto* activate = std::get_if<ActivateBundle>(&action)) {
    listener_(activate->bundle->version, Now());
  }
}

void HollowNode::Fetch(const FetchFromSource& request) {
  if (!settings_.source) return;
  if (!source_) {
    SourceClientSettings client;
    client.address = *settings_.source;
    source_ = StartSourceClient(
        client, [weak = weak_from_this(), reactor = reactor_](SourceAnswered answer) {
          reactor->Post([weak, answer = std::move(answer)] {
            if (const auto self = weak.lock()) self->Step(answer);
          });
        });
  }
  source_->Fetch(request);
}

void HollowNode::ScheduleTimer() {
  const Timestamp deadline = agent_->NextDeadline();
  if (next_timer_ && *next_timer_ <= deadline) return;
  next_timer_ = deadline;
  reactor_->RunAt(deadline, [weak = weak_from_this(), deadline] {
    if (const auto self = weak.lock()) self->OnTimer(deadline);
  });
}

// A timer that was overtaken by an earlier one has nothing to do.
void HollowNode::OnTimer(Timestamp scheduled) {
  if (!agent_ || next_timer_ != scheduled) return;
  next_timer_.reset();
  if (agent_->NextDeadline() > Now()) return ScheduleTimer();
  Step(TimerFired{});
}

}  // namespace copperlead
