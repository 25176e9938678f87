#include "distribution/agent.h"

#include <utility>

#include "distribution/agent_implementation.h"

namespace copperlead {

Agent::Agent(const AgentSettings& settings, MemberRecord self,
             const std::vector<SocketAddress>& contacts, std::uint64_t seed, Timestamp now)
    : implementation_(
          std::make_unique<Implementation>(settings, std::move(self), contacts, seed, now)) {}

Agent::~Agent() = default;

std::vector<Action> Agent::Step(Timestamp now, const Event& event) {
  return implementation_->Step(now, event);
}

Timestamp Agent::NextDeadline() const { return implementation_->deadline_; }

const Membership& Agent::membership() const { return implementation_->membership_; }

const VersionLedger& Agent::ledger() const { return implementation_->configuration_.ledger(); }

BundlePointer Agent::running() const { return implementation_->configuration_.store().running(); }

MachineListPointer Agent::machines() const { return implementation_->machines_.list(); }

const std::deque<BundlePointer>& Agent::history() const {
  return implementation_->configuration_.store().history();
}

const SourceState& Agent::source() const { return implementation_->poller_.state(); }

bool Agent::is_reader() const { return implementation_->poller_.is_reader(); }

bool Agent::ready() const {
  // After a pause the node continues to serve the running bundle.
  return running() != nullptr;
}

const std::optional<RefusedVersion>& Agent::fleet_refused() const {
  return implementation_->fleet_refusal_.known();
}
bool Agent::floor_unverified() const { return implementation_->join_gate_.unverified(); }

}  // namespace copperlead
