#include "distribution/repairer.h"

#include <algorithm>
#include <vector>

#include "distribution/reader_election.h"
#include "distribution/version_order.h"

namespace copperlead {
namespace {

constexpr Duration kPullTimeout = Milliseconds(600);
// Wait after a whole document that did not decode.
constexpr Duration kUndecodableWait = std::chrono::seconds(5);
// Nodes that know a peer ahead of them only in another zone spread their pulls over this time, so
// that most of them find the version in their own zone before they pull.
constexpr Duration kOtherZoneSpread = Milliseconds(1000);

}  // namespace

Repairer::Repairer(const AgentSettings& settings, const Membership& membership,
                   const FleetView& view, DocumentStream& stream, Outbox& outbox,
                   std::uint64_t seed)
    : settings_(settings),
      membership_(membership),
      view_(view),
      stream_(stream),
      outbox_(outbox),
      random_(seed) {}

bool Repairer::InSameZone(const Peer& peer) const { return peer.zone == membership_.self().zone; }

// Returns how long to wait for the push tree to deliver the version before pulling it.
Duration Repairer::PushGracePeriod(const Peer& peer) {
  const bool pushed = settings_.strategy != Strategy::kGossipOnly;
  const bool first = stream_.running().none();
  const Duration push_time = pushed && !first ? settings_.push_retry : Duration::zero();
  if (InSameZone(peer)) return push_time;
  if (view_.own_rank() <= kStandbyRank) return 2 * push_time;
  return 2 * push_time + random_.UpTo(kOtherZoneSpread);
}

void Repairer::RecordVersion(Timestamp now, const MemberRecord& peer,
                             const DocumentVersion& version) {
  if (!stream_.Wants(version)) return;
  const Peer candidate{peer.id, peer.zone, peer.address, version};
  if (!target_) {
    target_ = candidate;
    earliest_pull_ = std::max(earliest_pull_, now + PushGracePeriod(candidate));
    return;
  }
  const bool closer = InSameZone(candidate) && !InSameZone(*target_);
  const bool newer = IsNewer(version, target_->version);
  if (closer) earliest_pull_ = std::min(earliest_pull_, now + PushGracePeriod(candidate));
  if (closer || newer) target_ = candidate;
}

void Repairer::FindTarget(Timestamp now) {
  if (target_) return;
  ChooseTarget();
  if (target_) earliest_pull_ = std::max(earliest_pull_, now);
}

void Repairer::PullFrom(Timestamp now, const MemberRecord& peer, const DocumentVersion& version,
                        const DocumentVersion& have) {
  target_ = Peer{peer.id, peer.zone, peer.address, version};
  SendPull(now, have);
}

void Repairer::OnBusy(Timestamp now, const NodeId& from, Duration retry_after) {
  if (!pull_ || pull_->peer != from) return;
  pull_.reset();
  earliest_pull_ = now + retry_after;
  ChooseTarget();
}

void Repairer::OnUndecodable(Timestamp now) {
  pull_.reset();
  earliest_pull_ = now + kUndecodableWait;
  ChooseTarget();
}

void Repairer::OnAnswer(const NodeId& from) {
  if (pull_ && pull_->peer == from) pull_.reset();
  ClearIfSatisfied();
}

void Repairer::Tick(Timestamp now) {
  ClearIfSatisfied();
  if (!target_) return;
  if (pull_) {
    if (now < pull_->deadline) return;
    pull_.reset();
    ChooseTarget();
  }
  if (now >= earliest_pull_) SendPull(now, stream_.running());
}

Timestamp Repairer::NextDeadline() const {
  if (!target_) return Timestamp::max();
  return pull_ ? pull_->deadline : earliest_pull_;
}

void Repairer::Reset() {
  target_.reset();
  pull_.reset();
  earliest_pull_ = Timestamp{};
}

void Repairer::SendPull(Timestamp now, const DocumentVersion& have) {
  pull_ = Pull{target_->id, now + kPullTimeout};
  outbox_.Send(target_->address, copperlead::Pull{stream_.kind(), have});
}

// Picks a random member that is ahead, from this node's zone if there is one. It visits all
// members, so it is used only when no peer is known, or when one did not answer, was busy or sent a
// document that did not decode.
void Repairer::ChooseTarget() {
  std::vector<Peer> same_zone;
  std::vector<Peer> other_zones;
  for (const auto& [id, member] : membership_.members()) {
    const bool live = member.record.state == MemberState::kAlive;
    const bool configuration = stream_.kind() == StreamKind::kConfiguration;
    const DocumentVersion& version = configuration ? member.record.configuration : member.machines;
    if (!live || !stream_.Wants(version)) continue;
    const Peer peer{id, member.record.zone, member.record.address, version};
    (InSameZone(peer) ? same_zone : other_zones).push_back(peer);
  }
  const std::vector<Peer>& choice = same_zone.empty() ? other_zones : same_zone;
  if (choice.empty()) {
    target_.reset();  // The next message from a peer that is ahead sets it again.
    return;
  }
  target_ = choice[random_.Below(choice.size())];
}

void Repairer::ClearIfSatisfied() {
  if (target_ && !stream_.Wants(target_->version)) {
    target_.reset();
    pull_.reset();
  }
}

}  // namespace copperlead
