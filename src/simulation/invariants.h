// The rules that hold after every step of every node, and the violations found.
//
// The checker computes everything itself from what the simulator saw (published documents,
// delivered messages, activations); it does not trust the agents' own word.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "simulation/source_model.h"
#include "simulation/topology.h"
#include "snapshot/bundle.h"

namespace copperlead::simulation {

enum class Rule : std::uint8_t {
  kRevisionFell,      // A node ran a lower version than before in the same life.
  kTableReplaced,     // A node replaced its table by another of the same revision.
  kBelowFloor,        // A node activated less than a peer it joined through remembers of it.
  kFloorForgotten,    // A join reply told less than its sender had heard from the asking node.
  kTableNotAccepted,  // The active table has faults.
  kMixedTable,        // The active table was never published under its revision.
  kUnresolvedName,    // A row names a service or secret that the node lacks.
  kActivationLost,    // The data path does not run what the control plane says it runs.
  kSourceReads,       // The source was read more often than its bound.
  kNotSettled,        // After healing, a node does not run the newest accepted version in time.
  kCount,
};
std::string_view Name(Rule rule);

struct Violation {
  Rule rule = Rule::kCount;
  Timestamp when{};
  std::string node;  // Id; empty when the rule is about the source.
  std::string detail;
};

// Most violations kept; further ones are only counted.
inline constexpr std::size_t kMaxViolations = 100;

// Not thread-safe.
class InvariantChecker {
 public:
  // @param read_bound most reads of the source allowed in any second.
  InvariantChecker(const Topology& topology, const SourceModel& source, std::size_t read_bound);

  // A new life of the node begins: it remembers nothing.
  void NodeStarted(NodeIndex node);
  // A message reached a live node.
  void MessageDelivered(NodeIndex from, NodeIndex to, const Message& message);
  void JoinReplySent(Timestamp now, NodeIndex from, NodeIndex to, const JoinReply& reply);
  // @param agent_runs what the agent says that it runs. @param active what the data path runs.
  void AfterStep(Timestamp now, NodeIndex node, const BundlePointer& agent_runs,
                 const BundlePointer& active);
  void SourceRead(Timestamp now, std::size_t reads_in_last_second);
  // The node is live and reachable, and its grace after healing is over.
  void ExpectSettled(Timestamp now, NodeIndex node, const BundlePointer& active,
                     const MachineListPointer& machines);

  const std::vector<Violation>& violations() const { return violations_; }
  std::size_t violation_count() const { return violation_count_; }
  std::uint64_t checked_steps() const { return checked_steps_; }
  std::size_t read_bound() const { return read_bound_; }

 private:
  struct NodeHistory {
    BundlePointer active;                // After the last step.
    DocumentVersion lost;                // Last activation reported as lost.
    DocumentVersion floor;               // By the peers that answered its joins in this life.
    std::vector<DocumentVersion> heard;  // Highest version heard directly, by sending node.
  };

  void CheckOrder(Timestamp now, NodeIndex node, const Bundle& active);
  // @return true when no rule is violated.
  bool CheckContent(Timestamp now, NodeIndex node, const Bundle& active);
  void Report(Rule rule, Timestamp now, const std::string& node, std::string detail);

  const Topology& topology_;
  const SourceModel& source_;
  std::size_t read_bound_;
  std::size_t read_peak_ = 0;
  std::vector<NodeHistory> nodes_;
  BundlePointer last_good_;  // Content found good last; most nodes share their bundle.
  std::vector<Violation> violations_;
  std::size_t violation_count_ = 0;
  std::uint64_t checked_steps_ = 0;
};

}  // namespace copperlead::simulation
