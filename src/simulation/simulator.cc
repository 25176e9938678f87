#include "simulation/simulator.h"

#include <algorithm>
#include <utility>

#include "simulation/shared_decoder.h"

namespace copperlead::simulation {
namespace {

constexpr Timestamp kOrigin{std::chrono::seconds(1000)};
constexpr Duration kTimerLatenessLimit = std::chrono::microseconds(500);
// What a node's processor needs for one message.
constexpr Duration kMessageCost = std::chrono::microseconds(20);
constexpr Duration kDocumentCost = Milliseconds(1);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// Messages that a paused node's socket buffers hold.
constexpr std::size_t kInboxLimit = 256;
constexpr std::size_t kContactsInZone = 2;
constexpr std::size_t kContactsElsewhere = 2;
// Clocks of the machines differ by up to this, either way.
constexpr std::int64_t kClockErrorMs = 50;

Duration CostOf(const Event& event) {
  if (const auto* received = std::get_if<MessageReceived>(&event)) {
    return std::holds_alternative<Push>(received->message->body) ? kDocumentCost : kMessageCost;
  }
  return Duration{};
}

std::vector<SocketAddress> ChooseContacts(const Topology& topology, NodeIndex node,
                                          std::uint64_t seed) {
  Random random(DeriveSeed(seed, RandomStream::kContacts, node));
  const std::vector<NodeIndex> zone = topology.NodesInZone(topology.ZoneOf(node));
  std::vector<SocketAddress> contacts;
  for (std::size_t count = 0; count < kContactsInZone; ++count) {
    contacts.push_back(topology.Address(zone[random.Below(zone.size())]));
  }
  for (std::size_t count = 0; count < kContactsElsewhere; ++count) {
    contacts.push_back(topology.Address(random.Below(topology.node_count())));
  }
  std::sort(contacts.begin(), contacts.end());
  contacts.erase(std::unique(contacts.begin(), contacts.end()), contacts.end());
  std::erase(contacts, topology.Address(node));
  return contacts;
}

// A table whose first half of rows is the old one's: what a half-applied activation leaves.
BundlePointer HalfApplied(const Bundle& before, const Bundle& after) {
  auto mixture = std::make_shared<Bundle>(after);
  const std::size_t rows = std::min(before.table.rows.size(), after.table.rows.size());
  for (std::size_t row = 0; row < rows; row += 2) {
    mixture->table.rows[row].timeout_ms = before.table.rows[row].timeout_ms + 1;
  }
  return mixture;
}

}  // namespace

Simulator::Simulator(const SimulationOptions& options)
    : options_(options),
      agent_settings_(AgentSettingsFor(options)),
      topology_(options.nodes, options.zones, options.regions),
      now_(kOrigin),
      random_(DeriveSeed(options.seed, RandomStream::kScenario)),
      network_(topology_, LatencyProfileFor(options.profile), options.seed),
      source_(topology_, options.seed),
      documents_(topology_, options.services, options.seed),
      checker_(topology_, source_, SourceReadBound(options.zones, agent_settings_.source_interval)),
      traffic_(options.nodes),
      convergence_(options.nodes),
      machine_convergence_(options.nodes),
      nodes_(options.nodes),
      trace_(options.trace) {
  agent_settings_.decoder = std::make_shared<SharedDecoder>();
}

Duration Simulator::elapsed() const { return now_ - kOrigin; }

void Simulator::ResetMeasurements() {
  convergence_ = ConvergenceTracker(nodes_.size());
  machine_convergence_ = ConvergenceTracker(nodes_.size());
  join_times_ = DurationSamples();
}

void Simulator::RunFor(Duration duration) {
  const Timestamp end = now_ + duration;
  while (!queue_.empty() && queue_.next_time() <= end) {
    now_ = std::max(now_, queue_.next_time());
    Dispatch(queue_.Pop());
  }
  now_ = end;
}

void Simulator::Start(NodeIndex node) {
  SimulatedNode& state = nodes_[node];
  if (state.agent) return;
  const std::uint32_t life = state.life + 1;
  state = SimulatedNode{};
  state.life = life;
  state.started_at = now_;
  ++starts_;
  trace_.Write(elapsed(), topology_.Id(node), "starts");
  MemberRecord self;
  self.id = topology_.Id(node);
  self.zone = topology_.ZoneName(topology_.ZoneOf(node));
  self.address = topology_.Address(node);
  // Seconds of a wall clock, as the daemon takes them.
  self.incarnation = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now_.time_since_epoch()).count());
  const std::uint64_t seed = DeriveSeed(options_.seed, RandomStream::kAgent, node * 1000 + life);
  AgentSettings settings = agent_settings_;
  settings.wall_clock_offset_ms =
      static_cast<std::int64_t>(seed % (2 * kClockErrorMs + 1)) - kClockErrorMs;
  state.agent = std::make_unique<Agent>(settings, self,
                                        ChooseContacts(topology_, node, options_.seed), seed, now_);
  checker_.NodeStarted(node);
  convergence_.Restored(now_, node);
  machine_convergence_.Restored(now_, node);
  Step(node, TimerFired{});
}

void Simulator::Crash(NodeIndex node) {
  trace_.Write(elapsed(), topology_.Id(node), "crashes");
  const std::uint32_t life = nodes_[node].life;
  nodes_[node] = SimulatedNode{};
  nodes_[node].life = life + 1;
}

void Simulator::StopInGoodOrder(NodeIndex node) {
  if (nodes_[node].running()) Step(node, StopRequested{});
}

void Simulator::Pause(NodeIndex node) {
  trace_.Write(elapsed(), topology_.Id(node), "is paused");
  nodes_[node].paused = true;
}

void Simulator::Wake(NodeIndex node) {
  SimulatedNode& state = nodes_[node];
  if (!state.paused) return;
  state.paused = false;
  trace_.Write(elapsed(), topology_.Id(node), "wakes");
  convergence_.Restored(now_, node);
  machine_convergence_.Restored(now_, node);
  // Threads wake in any order: the timer may run before or after what waited in the sockets.
  const bool timer_first = random_.Chance(0.5);
  if (timer_first) SetTimer(node, now_);
  for (Event& event : std::exchange(state.inbox, {})) {
    queue_.Push(now_, {.node = node, .life = state.life, .event = std::move(event)});
  }
  if (!timer_first) SetTimer(node, now_);
}

void Simulator::PublishEdit(const PublishedConfiguration& configuration) {
  source_.Publish(configuration);
  if (configuration.acceptable) convergence_.Published(now_, configuration.revision());
}

void Simulator::PublishMachines(const PublishedMachines& machines) {
  source_.Publish(machines);
  machine_convergence_.Published(now_, machines.list->sequence);
}

void Simulator::Heal() {
  network_.Heal();
  network_.SetFaults({});
  source_.SetOutage(false);
  source_.SetExtraServiceTime(Duration{});
  source_.GoBack(0);
  for (NodeIndex node = 0; node < nodes_.size(); ++node) {
    convergence_.Restored(now_, node);
    machine_convergence_.Restored(now_, node);
  }
}

std::vector<NodeIndex> Simulator::Readers() const {
  std::vector<NodeIndex> readers;
  for (NodeIndex node = 0; node < nodes_.size(); ++node) {
    if (nodes_[node].running() && nodes_[node].agent->is_reader()) readers.push_back(node);
  }
  return readers;
}

bool Simulator::Settled() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const SimulatedNode& node) {
    if (!node.running()) return true;
    return node.agent->ready() && node.active && node.machines &&
           node.active->revision == source_.newest_acceptable() &&
           node.machines->sequence == source_.newest_machines();
  });
}

void Simulator::ExpectSettled() {
  for (NodeIndex node = 0; node < nodes_.size(); ++node) {
    const SimulatedNode& state = nodes_[node];
    if (state.running()) checker_.ExpectSettled(now_, node, state.active, state.machines);
  }
}

bool Simulator::IsCurrent(const Occurrence& occurrence) const {
  const SimulatedNode& state = nodes_[occurrence.node];
  if (!state.agent) return false;
  if (occurrence.life != kAnyLife && occurrence.life != state.life) return false;
  return occurrence.timer == 0 || occurrence.timer == state.timer;
}

void Simulator::Dispatch(Occurrence occurrence) {
  if (!IsCurrent(occurrence)) return;
  SimulatedNode& state = nodes_[occurrence.node];
  if (!state.paused) {
    Deliver(std::move(occurrence));
    return;
  }
  if (occurrence.timer == 0 && state.inbox.size() < kInboxLimit) {
    state.inbox.push_back(std::move(occurrence.event));
  }
}

void Simulator::Deliver(Occurrence occurrence) {
  SimulatedNode& state = nodes_[occurrence.node];
  if (!occurrence.waited) {
    state.busy_until = std::max(state.busy_until, now_) + CostOf(occurrence.event);
    if (state.busy_until > now_) {
      occurrence.waited = true;
      queue_.Push(state.busy_until, std::move(occurrence));
      return;
    }
  }
  if (occurrence.timer != 0) state.timer_at.reset();
  if (const auto* received = std::get_if<MessageReceived>(&occurrence.event)) {
    const auto from = topology_.NodeAt(received->from);
    if (from) checker_.MessageDelivered(*from, occurrence.node, *received->message);
  }
  Step(occurrence.node, occurrence.event);
}

void Simulator::Step(NodeIndex node, const Event& event) {
  SimulatedNode& state = nodes_[node];
  for (const Action& action : state.agent->Step(now_, event)) {
    trace_.Write(elapsed(), topology_.Id(node), action);
    std::visit([&](const auto& one) { CarryOut(node, one); }, action);
  }
  checker_.AfterStep(now_, node, state.agent->running(), state.active);
  NoteReady(node);
  ScheduleTimer(node);
}

void Simulator::CarryOut(NodeIndex node, const SendMessage& action) {
  const auto to = topology_.NodeAt(action.to);
  std::shared_ptr<const Message> message = action.message;
  const auto* reply = std::get_if<JoinReply>(&message->body);
  if (reply && options_.broken.forgetful_peers) {
    auto altered = std::make_shared<Message>(*message);
    std::get<JoinReply>(altered->body).remembered = DocumentVersion{};
    message = std::move(altered);
    reply = std::get_if<JoinReply>(&message->body);
  }
  if (reply && to) checker_.JoinReplySent(now_, node, *to, *reply);
  const WireSize size = SizeOf(message);
  traffic_.Count(node, KindOf(message->body), size.bytes);
  if (!to) return;
  for (const Timestamp arrival : network_.Send(now_, node, *to, size.bytes, size.stream)) {
    queue_.Push(arrival, {.node = *to, .event = MessageReceived{topology_.Address(node), message}});
  }
}

void Simulator::CarryOut(NodeIndex node, const FetchFromSource& action) {
  const Duration there = network_.LatencyToSource(node);
  const Duration back = network_.LatencyToSource(node);
  if (!network_.SourceReachable(node)) {
    SourceAnswered failed;
    failed.stream = action.stream;
    failed.error = Error{ErrorKind::kSourceTimeout, "source", "no connection"};
    queue_.Push(now_ + kConnectTimeout,
                {.node = node, .life = nodes_[node].life, .event = std::move(failed)});
    return;
  }
  SourceReading reading = source_.Read(now_, node, action);
  checker_.SourceRead(now_, source_.reads_in_last_second());
  traffic_.Count(node, TrafficKind::kSource, SourceExchangeBytes(reading.answer_bytes));
  queue_.Push(now_ + there + reading.service_time + back,
              {.node = node, .life = nodes_[node].life, .event = std::move(reading.answer)});
}

void Simulator::CarryOut(NodeIndex node, const ActivateBundle& action) {
  SimulatedNode& state = nodes_[node];
  if (state.active && options_.broken.lost_activations) return;
  convergence_.Activated(now_, node, action.bundle->revision);
  const bool half_applied = state.active && options_.broken.half_applied;
  state.active = half_applied ? HalfApplied(*state.active, *action.bundle) : action.bundle;
}

void Simulator::CarryOut(NodeIndex node, const ActivateMachines& action) {
  nodes_[node].machines = action.machines;
  machine_convergence_.Activated(now_, node, action.machines->sequence);
}

// Only traced.
void Simulator::CarryOut(NodeIndex /*node*/, const Report& /*action*/) {}

void Simulator::ScheduleTimer(NodeIndex node) {
  SimulatedNode& state = nodes_[node];
  const Timestamp deadline = std::max(now_, state.agent->NextDeadline());
  // A later deadline is found out when the earlier timer fires.
  if (state.timer_at && *state.timer_at <= deadline) return;
  SetTimer(node, deadline);
}

void Simulator::SetTimer(NodeIndex node, Timestamp when) {
  SimulatedNode& state = nodes_[node];
  state.timer_at = when;
  ++state.timer;
  queue_.Push(when + random_.DurationBelow(kTimerLatenessLimit),
              {.node = node, .life = state.life, .timer = state.timer, .event = TimerFired{}});
}

void Simulator::NoteReady(NodeIndex node) {
  SimulatedNode& state = nodes_[node];
  if (state.ready_seen || !state.agent->ready()) return;
  state.ready_seen = true;
  join_times_.Add(now_ - state.started_at);
}

WireSize Simulator::SizeOf(const std::shared_ptr<const Message>& message) {
  if (message != last_sized_) {
    last_size_ = WireSizeOf(*message);
    last_sized_ = message;
  }
  return last_size_;
}

}  // namespace copperlead::simulation
