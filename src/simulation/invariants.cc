#include "simulation/invariants.h"

#include <algorithm>
#include <array>
#include <utility>

namespace copperlead::simulation {
namespace {

std::string FirstUnresolvedName(const Bundle& bundle) {
  for (const RouteRow& row : bundle.table.rows) {
    if (!bundle.services.contains(row.service)) return "service " + row.service;
    if (!row.secret.empty() && !bundle.secrets.contains(row.secret)) return "secret " + row.secret;
  }
  return "";
}

}  // namespace

std::string_view Name(Rule rule) {
  constexpr std::array<std::string_view, static_cast<std::size_t>(Rule::kCount)> kNames = {
      "revision_fell",      "table_replaced", "below_floor",     "floor_forgotten",
      "table_not_accepted", "mixed_table",    "unresolved_name", "activation_lost",
      "source_reads",       "not_settled"};
  return kNames.at(static_cast<std::size_t>(rule));
}

InvariantChecker::InvariantChecker(const Topology& topology, const SourceModel& source,
                                   std::size_t read_bound)
    : topology_(topology), source_(source), read_bound_(read_bound), nodes_(topology.node_count()) {
  for (NodeIndex node = 0; node < nodes_.size(); ++node) NodeStarted(node);
}

void InvariantChecker::NodeStarted(NodeIndex node) {
  nodes_[node] = NodeHistory{};
  nodes_[node].heard.resize(nodes_.size());
}

void InvariantChecker::MessageDelivered(NodeIndex from, NodeIndex to, const Message& message) {
  DocumentVersion& heard = nodes_[to].heard[from];
  const DocumentVersion& told = message.sender.record.configuration;
  if (IsNewer(told, heard)) heard = told;
  const auto* reply = std::get_if<JoinReply>(&message.body);
  if (reply && IsNewer(reply->remembered, nodes_[to].floor)) nodes_[to].floor = reply->remembered;
}

void InvariantChecker::JoinReplySent(Timestamp now, NodeIndex from, NodeIndex to,
                                     const JoinReply& reply) {
  const DocumentVersion& heard = nodes_[from].heard[to];
  if (!IsNewer(heard, reply.remembered)) return;
  Report(Rule::kFloorForgotten, now, topology_.Id(from),
         "told " + topology_.Id(to) + " that it ran " + ToString(reply.remembered) +
             ", but had heard " + ToString(heard) + " from it");
}

void InvariantChecker::AfterStep(Timestamp now, NodeIndex node, const BundlePointer& agent_runs,
                                 const BundlePointer& active) {
  ++checked_steps_;
  const DocumentVersion said = agent_runs ? agent_runs->version : DocumentVersion{};
  const DocumentVersion runs = active ? active->version : DocumentVersion{};
  if (said != runs && nodes_[node].lost != said) {
    nodes_[node].lost = said;
    Report(Rule::kActivationLost, now, topology_.Id(node),
           "the agent says " + ToString(said) + ", the data path runs " + ToString(runs));
  }
  // Bundles are immutable: what was checked once holds until the pointer changes.
  if (active == nodes_[node].active) return;
  if (active) {
    CheckOrder(now, node, *active);
    if (active != last_good_ && CheckContent(now, node, *active)) last_good_ = active;
  }
  nodes_[node].active = active;
}

void InvariantChecker::SourceRead(Timestamp now, std::size_t reads_in_last_second) {
  // Each new peak is one violation, not each read.
  if (reads_in_last_second <= std::max(read_bound_, read_peak_)) return;
  read_peak_ = reads_in_last_second;
  Report(Rule::kSourceReads, now, "",
         std::to_string(reads_in_last_second) + " reads within one second, bound " +
             std::to_string(read_bound_));
}

void InvariantChecker::ExpectSettled(Timestamp now, NodeIndex node, const BundlePointer& active,
                                     const MachineListPointer& machines) {
  const std::uint64_t revision = active ? active->revision : 0;
  if (revision != source_.newest_acceptable()) {
    Report(Rule::kNotSettled, now, topology_.Id(node),
           "runs revision " + std::to_string(revision) + ", newest accepted is " +
               std::to_string(source_.newest_acceptable()));
  }
  const std::uint64_t sequence = machines ? machines->sequence : 0;
  if (sequence != source_.newest_machines()) {
    Report(Rule::kNotSettled, now, topology_.Id(node),
           "has machine list " + std::to_string(sequence) + ", newest is " +
               std::to_string(source_.newest_machines()));
  }
}

void InvariantChecker::CheckOrder(Timestamp now, NodeIndex node, const Bundle& active) {
  const NodeHistory& history = nodes_[node];
  const std::string& id = topology_.Id(node);
  if (history.active && IsNewer(history.active->version, active.version)) {
    Report(Rule::kRevisionFell, now, id,
           ToString(history.active->version) + " then " + ToString(active.version));
  }
  if (history.active && history.active->revision == active.revision &&
      history.active->table_digest != active.table_digest) {
    Report(Rule::kTableReplaced, now, id, "another table of " + ToString(active.version));
  }
  if (IsNewer(history.floor, active.version)) {
    Report(
        Rule::kBelowFloor, now, id,
        "activated " + ToString(active.version) + ", a peer remembers " + ToString(history.floor));
  }
}

bool InvariantChecker::CheckContent(Timestamp now, NodeIndex node, const Bundle& active) {
  const std::size_t before = violation_count_;
  const std::string& id = topology_.Id(node);
  const Digest digest = DigestOf(active.table);
  if (!source_.WasPublished(active.revision, digest)) {
    Report(Rule::kMixedTable, now, id,
           "the active table was not published as revision " + std::to_string(active.revision));
  } else if (!source_.WasFaultless(active.revision, digest)) {
    Report(Rule::kTableNotAccepted, now, id,
           "revision " + std::to_string(active.revision) + " has faults");
  }
  const std::string unresolved = FirstUnresolvedName(active);
  if (!unresolved.empty()) Report(Rule::kUnresolvedName, now, id, unresolved);
  return violation_count_ == before;
}

void InvariantChecker::Report(Rule rule, Timestamp now, const std::string& node,
                              std::string detail) {
  ++violation_count_;
  if (violations_.size() < kMaxViolations) {
    violations_.push_back(Violation{rule, now, node, std::move(detail)});
  }
}

}  // namespace copperlead::simulation
