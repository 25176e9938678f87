#include "membership/prober.h"

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

constexpr std::size_t kMaxRelays = 128;

bool Contains(const std::vector<NodeId>& ids, const NodeId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

std::vector<ProbePeer> PickPeers(RandomEngine& random,
                                 const std::vector<const MemberRecord*>& candidates,
                                 std::size_t count, const std::vector<NodeId>& excluded) {
  // Usually few of many candidates are picked, so drawing until enough are found is cheap. The
  // number of draws is limited because those that hit a taken candidate are wasted.
  constexpr std::size_t kDrawsPerPick = 8;
  std::vector<ProbePeer> picked;
  std::vector<NodeId> taken = excluded;
  const std::size_t draws = (count + excluded.size()) * kDrawsPerPick;
  for (std::size_t draw = 0; draw < draws && picked.size() < count; ++draw) {
    if (candidates.empty()) break;
    const MemberRecord& candidate = *candidates[RandomBelow(random, candidates.size())];
    if (Contains(taken, candidate.id)) continue;
    taken.push_back(candidate.id);
    picked.push_back({candidate.id, candidate.address});
  }
  return picked;
}

Prober::Prober(const MembershipSettings& settings, RandomEngine& random, Timestamp now)
    : settings_(settings), random_(random) {
  next_number_ = static_cast<std::uint32_t>(random_());
  Restart(now);
}

void Prober::Restart(Timestamp now) {
  probe_.reset();
  relays_.clear();
  consecutive_failures_ = 0;
  next_probe_ = now + RandomDuration(random_, settings_.probe_interval);
}

void Prober::AddToRound(const NodeId& id) {
  const auto rest = round_.begin() + static_cast<std::ptrdiff_t>(position_);
  if (std::find(rest, round_.end(), id) != round_.end()) return;
  round_.push_back(id);
  const auto place = position_ + RandomBelow(random_, round_.size() - position_);
  std::swap(round_[place], round_.back());
}

ProbeStep Prober::Advance(Timestamp now, const MemberList& members) {
  ProbeStep step;
  if (now >= next_probe_) {
    if (probe_) {
      step.failed = probe_->target.id;
      ++consecutive_failures_;
      probe_.reset();
    }
    StartProbe(now, members, step);
    return step;
  }
  const bool indirect_due = probe_ && !probe_->indirect && now >= probe_->indirect_due;
  if (indirect_due) RequestIndirectProbes(members, step);
  return step;
}

Timestamp Prober::NextDeadline() const {
  if (probe_ && !probe_->indirect) return std::min(probe_->indirect_due, next_probe_);
  return next_probe_;
}

bool Prober::RecordAnswer(std::uint32_t number, const NodeId& sender) {
  if (!probe_ || probe_->number != number) return false;
  if (sender != probe_->target.id && !Contains(probe_->relays, sender)) return false;
  probe_.reset();
  consecutive_failures_ = 0;
  return true;
}

std::optional<std::uint32_t> Prober::StartRelay(Timestamp now, const SocketAddress& requester,
                                                std::uint32_t requester_number,
                                                const NodeId& target) {
  std::erase_if(relays_, [now](const auto& entry) { return entry.second.expires <= now; });
  if (relays_.size() >= kMaxRelays) return std::nullopt;
  const auto number = NextNumber();
  relays_[number] = {{requester, requester_number}, target, now + settings_.probe_interval};
  return number;
}

std::optional<RelayedAnswer> Prober::TakeRelayedAnswer(std::uint32_t number, const NodeId& sender) {
  const auto found = relays_.find(number);
  if (found == relays_.end() || found->second.target != sender) return std::nullopt;
  auto answer = found->second.answer;
  relays_.erase(found);
  return answer;
}

void Prober::StartProbe(Timestamp now, const MemberList& members, ProbeStep& step) {
  next_probe_ = now + settings_.probe_interval;
  const Member* target = NextTarget(members);
  if (target == nullptr) return;
  Probe probe;
  probe.number = NextNumber();
  probe.target = {target->record.id, target->record.address};
  probe.indirect_due = now + settings_.probe_timeout;
  step.target = probe.target;
  step.number = probe.number;
  probe_ = std::move(probe);
}

void Prober::RequestIndirectProbes(const MemberList& members, ProbeStep& step) {
  probe_->indirect = true;
  const std::vector<NodeId> excluded = {members.self().id, probe_->target.id};
  step.relays = PickPeers(random_, members.Eligible(), settings_.indirect_probes, excluded);
  step.relay_target = probe_->target;
  step.number = probe_->number;
  for (const auto& relay : step.relays) probe_->relays.push_back(relay.id);
}

const Member* Prober::NextTarget(const MemberList& members) {
  for (int round = 0; round < 2; ++round) {
    while (position_ < round_.size()) {
      const Member* member = members.Find(round_[position_++]);
      if (member != nullptr && member->record.state != MemberState::kDead) return member;
    }
    ShuffleRound(members);
  }
  return nullptr;
}

void Prober::ShuffleRound(const MemberList& members) {
  round_.clear();
  position_ = 0;
  for (const auto& [id, member] : members.members()) {
    if (member.record.state != MemberState::kDead) round_.push_back(id);
  }
  for (std::size_t index = round_.size(); index > 1; --index) {
    std::swap(round_[index - 1], round_[RandomBelow(random_, index)]);
  }
}

}  // namespace copperlead
