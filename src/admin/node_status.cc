#include "admin/node_status.h"

#include <algorithm>

namespace copperlead {
namespace {

std::int64_t MillisecondsBetween(Timestamp earlier, Timestamp later) {
  return std::chrono::duration_cast<Milliseconds>(later - earlier).count();
}

std::string NameOf(SourceState::Kind kind) {
  switch (kind) {
    case SourceState::Kind::kNotReader:
      return "not_reader";
    case SourceState::Kind::kNever:
      return "never";
    case SourceState::Kind::kHealthy:
      return "healthy";
    case SourceState::Kind::kFailing:
      return "failing";
    case SourceState::Kind::kBehind:
      break;
  }
  return "behind";
}

SourceStatus CollectSource(const SourceState& source, Timestamp now) {
  SourceStatus status;
  status.state = NameOf(source.kind);
  if (source.last_success != Timestamp{}) {
    status.last_success_ms_ago = MillisecondsBetween(source.last_success, now);
  }
  status.reads = source.reads;
  status.failures = source.failures;
  if (source.behind_revision != 0) status.behind_revision = source.behind_revision;
  return status;
}

FleetEntry EntryOf(const Member& member, Timestamp now) {
  FleetEntry entry{member.record.id, member.record.zone, member.record.state,
                   member.record.configuration.major, std::nullopt};
  if (member.last_contact != Timestamp{}) {
    entry.last_heard_ms_ago = MillisecondsBetween(member.last_contact, now);
  }
  return entry;
}

std::vector<FleetEntry> CollectFleet(const Agent& agent, Timestamp now) {
  const auto& self = agent.membership().self();
  std::vector<FleetEntry> fleet;
  fleet.push_back({self.id, self.zone, self.state, agent.ledger().running().major, 0});
  for (const auto& [id, member] : agent.membership().members()) {
    fleet.push_back(EntryOf(member, now));
  }
  std::sort(fleet.begin(), fleet.end(),
            [](const FleetEntry& left, const FleetEntry& right) { return left.id < right.id; });
  return fleet;
}

}  // namespace

NodeStatus CollectStatus(const Agent& agent, Timestamp now) {
  const auto& ledger = agent.ledger();
  NodeStatus status;
  status.id = agent.membership().self().id;
  status.zone = agent.membership().self().zone;
  status.ready = agent.ready();
  status.reader = agent.is_reader();
  status.joining = ledger.joining();
  status.floor_unverified = agent.floor_unverified();
  status.revision = ledger.running().major;
  status.resource_epoch = ledger.running().minor;
  if (const auto running = agent.running()) status.digest = ToHex(running->table_digest);
  status.floor = ledger.floor().major;
  if (const auto machines = agent.machines()) status.machines_sequence = machines->sequence;
  status.waiting = ledger.waiting();
  status.conflict = ledger.conflict();
  status.last_refused = ledger.last_refused();
  status.fleet_refused = agent.fleet_refused();
  status.source = CollectSource(agent.source(), now);
  status.fleet = CollectFleet(agent, now);
  return status;
}

std::string_view Name(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      break;
  }
  return "dead";
}

}  // namespace copperlead
