#include "tests/membership/virtual_network.h"

#include <cstdio>
#include <set>
#include <utility>

namespace copperlead {
namespace {

// Approximate encoded sizes, used to count the bytes sent.
constexpr std::size_t kHeaderBytes = 60;
constexpr std::size_t kSummaryBytes = 90;
constexpr std::size_t kRecordBytes = 45;

struct RecordsIn {
  const std::vector<MemberRecord>* operator()(const Ping& body) const { return &body.updates; }
  const std::vector<MemberRecord>* operator()(const PingAck& body) const { return &body.updates; }
  const std::vector<MemberRecord>* operator()(const PingRequest& body) const {
    return &body.updates;
  }
  const std::vector<MemberRecord>* operator()(const JoinReply& body) const { return &body.members; }
  template <class Other>
  const std::vector<MemberRecord>* operator()(const Other&) const {
    return nullptr;
  }
};

}  // namespace

VirtualNetwork::VirtualNetwork(const MembershipSettings& settings, const NetworkSettings& network)
    : settings_(settings), network_(network), random_(network.seed) {}

void VirtualNetwork::AddNode(std::size_t index, std::size_t zones) {
  char id[16];
  std::snprintf(id, sizeof(id), "n%04zu", index);
  Node node;
  node.identity.id = id;
  node.identity.zone = "zone-" + std::to_string(index % zones);
  node.identity.address = {
      "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7000};
  by_address_[node.identity.address] = index;
  nodes_.push_back(std::move(node));
}

void VirtualNetwork::StartFleet(std::size_t count, std::size_t zones) {
  for (std::size_t index = 0; index < count; ++index) AddNode(index, zones);
  for (auto& node : nodes_) {
    for (std::size_t contact = 0; contact < 3 && contact < count; ++contact) {
      node.contacts.push_back(nodes_[contact].identity.address);
    }
  }
  for (std::size_t index = 0; index < count; ++index) Start(index, 1);
}

void VirtualNetwork::StartSeededFleet(std::size_t count, std::size_t zones) {
  for (std::size_t index = 0; index < count; ++index) AddNode(index, zones);
  std::vector<MemberRecord> everyone;
  for (const auto& node : nodes_) everyone.push_back(node.identity);
  for (std::size_t index = 0; index < count; ++index) {
    auto& node = nodes_[index];
    node.membership = std::make_unique<Membership>(settings_, node.identity, random_(), now_);
    node.membership->AddSeeds(now_, everyone);
    ScheduleTimer(index);
  }
}

void VirtualNetwork::Start(std::size_t index, std::uint32_t incarnation) {
  auto& node = nodes_[index];
  node.identity.incarnation = incarnation;
  ++node.timer_generation;
  node.paused = false;
  node.queued_messages.clear();
  node.membership = std::make_unique<Membership>(settings_, node.identity, random_(), now_);
  node.membership->AddContacts(node.contacts);
  Send(index, node.membership->Join(now_));
  ScheduleTimer(index);
}

void VirtualNetwork::Crash(std::size_t index) {
  nodes_[index].membership.reset();
  ++nodes_[index].timer_generation;
}

void VirtualNetwork::Pause(std::size_t index) { nodes_[index].paused = true; }

void VirtualNetwork::Resume(std::size_t index) {
  auto& node = nodes_[index];
  node.paused = false;
  for (const auto& [from, message] : std::exchange(node.queued_messages, {})) {
    Send(index, node.membership->Handle(now_, from, *message));
  }
  Send(index, node.membership->Join(now_));
  ++node.timer_generation;
  ScheduleTimer(index);
}

void VirtualNetwork::Leave(std::size_t index) { Send(index, at(index).Leave(now_)); }

void VirtualNetwork::Send(std::size_t from, const std::vector<OutgoingMessage>& messages) {
  auto& node = nodes_[from];
  for (const auto& outgoing : messages) {
    auto message = std::make_shared<Message>();
    message->sender = node.membership->Summary();
    message->body = outgoing.body;
    ++messages_sent_;
    bytes_sent_ += kHeaderBytes + kSummaryBytes;
    if (const auto* records = std::visit(RecordsIn{}, message->body)) {
      bytes_sent_ += kRecordBytes * records->size();
    }
    const auto to = by_address_.find(outgoing.to);
    if (to == by_address_.end()) continue;
    if (is_partitioned_ && is_partitioned_(from, to->second)) continue;
    if (Chance() < network_.loss) continue;
    Deliver(from, to->second, message);
    if (Chance() < network_.duplication) Deliver(from, to->second, message);
  }
}

void VirtualNetwork::Deliver(std::size_t from, std::size_t to,
                             const std::shared_ptr<const Message>& message) {
  const auto spread = network_.max_delay - network_.min_delay;
  const auto when = now_ + network_.min_delay + RandomDuration(random_, spread);
  events_.push({when, sequence_++, to, 0, nodes_[from].identity.address, message});
}

void VirtualNetwork::ScheduleTimer(std::size_t index) {
  const auto& node = nodes_[index];
  const auto when = std::max(now_, node.membership->NextDeadline());
  events_.push({when, sequence_++, index, node.timer_generation, {}, nullptr});
}

void VirtualNetwork::Process(const Event& event) {
  auto& node = nodes_[event.node];
  if (!node.membership) return;
  if (event.message) {
    if (node.paused) {
      node.queued_messages.emplace_back(event.from, event.message);
      return;
    }
    const auto before = node.membership->NextDeadline();
    Send(event.node, node.membership->Handle(now_, event.from, *event.message));
    if (node.membership->NextDeadline() < before) {
      ++node.timer_generation;
      ScheduleTimer(event.node);
    }
    return;
  }
  if (event.timer_generation != node.timer_generation || node.paused) return;
  if (node.membership->NextDeadline() <= now_) Send(event.node, node.membership->Tick(now_));
  ScheduleTimer(event.node);
}

void VirtualNetwork::RunFor(Duration duration) {
  const auto end = now_ + duration;
  while (!events_.empty() && events_.top().when <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.when);
    Process(event);
  }
  now_ = end;
}

Duration VirtualNetwork::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const auto start = now_;
  while (now_ - start < limit && !condition()) RunFor(Milliseconds(100));
  return now_ - start;
}

MemberState VirtualNetwork::StateAt(std::size_t observer, std::size_t subject) {
  const auto& members = at(observer).members();
  const auto found = members.find(nodes_[subject].identity.id);
  return found == members.end() ? MemberState::kDead : found->second.record.state;
}

bool VirtualNetwork::AllAlive(std::size_t count) {
  for (std::size_t observer = 0; observer < size(); ++observer) {
    if (!running(observer)) continue;
    if (at(observer).LiveCount() != count) return false;
    for (std::size_t subject = 0; subject < size(); ++subject) {
      if (subject == observer || !running(subject)) continue;
      if (StateAt(observer, subject) != MemberState::kAlive) return false;
    }
  }
  return true;
}

bool VirtualNetwork::HashesAgree() {
  std::set<std::uint64_t> hashes;
  for (const auto& node : nodes_) {
    if (node.membership) hashes.insert(node.membership->Summary().membership_hash);
  }
  return hashes.size() <= 1;
}

bool VirtualNetwork::DeadEverywhere(std::size_t subject) {
  for (std::size_t observer = 0; observer < size(); ++observer) {
    if (!running(observer) || observer == subject) continue;
    if (StateAt(observer, subject) != MemberState::kDead) return false;
  }
  return true;
}

std::size_t VirtualNetwork::FalseDeaths(std::size_t excluded) {
  std::size_t count = 0;
  for (std::size_t observer = 0; observer < size(); ++observer) {
    if (!running(observer) || observer == excluded) continue;
    for (std::size_t subject = 0; subject < size(); ++subject) {
      if (subject == observer || subject == excluded || !running(subject)) continue;
      if (StateAt(observer, subject) == MemberState::kDead) ++count;
    }
  }
  return count;
}

std::uint32_t VirtualNetwork::IncarnationSum() {
  std::uint32_t sum = 0;
  for (const auto& node : nodes_) {
    if (node.membership) sum += node.membership->self().incarnation;
  }
  return sum;
}

void VirtualNetwork::ResetCounters() {
  messages_sent_ = 0;
  bytes_sent_ = 0;
}

}  // namespace copperlead
