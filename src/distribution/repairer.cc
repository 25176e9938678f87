#include "distribution/repairer.h"

#include <algorithm>
#include <vector>

#include "distribution/reader_election.h"
#include "distribution/version_order.h"

namespace copperlead {
namespace {

constexpr Duration kPullTimeout = Milliseconds(600);
// After a whole document that did not decode.
constexpr Duration kUnreadableWait = std::chrono::seconds(5);
// Nodes that only know of a peer ahead in another zone spread their pulls over this time, so that
// most of them find the version in their own zone by then.
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

bool Repairer::InZone(const Peer& peer) const { return peer.zone == membership_.self().zone; }

// How long to leave the version to the push tree before pulling it.
Duration Repairer::Grace(const Peer& peer) {
  const bool pushed = settings_.strategy != Strategy::kGossipOnly;
  const bool first = stream_.running().none();
  const Duration push_time = pushed && !first ? settings_.push_retry : Duration::zero();
  if (InZone(peer)) return push_time;
  if (view_.own_rank() <= kStandbyRank) return 2 * push_time;
  return 2 * push_time + random_.UpTo(kOtherZoneSpread);
}

void Repairer::Hear(Timestamp now, const MemberRecord& peer, const DocumentVersion& version) {
  if (!stream_.Wants(version)) return;
  const Peer heard{peer.id, peer.zone, peer.address, version};
  if (!source_) {
    source_ = heard;
    not_before_ = std::max(not_before_, now + Grace(heard));
    return;
  }
  const bool nearer = InZone(heard) && !InZone(*source_);
  const bool newer = IsNewer(version, source_->version);
  if (nearer) not_before_ = std::min(not_before_, now + Grace(heard));
  if (nearer || newer) source_ = heard;
}

void Repairer::Seek(Timestamp now) {
  if (source_) return;
  ChooseAnother();
  if (source_) not_before_ = std::max(not_before_, now);
}

void Repairer::PullFrom(Timestamp now, const MemberRecord& peer, const DocumentVersion& version,
                        const DocumentVersion& have) {
  source_ = Peer{peer.id, peer.zone, peer.address, version};
  Ask(now, have);
}

void Repairer::HearBusy(Timestamp now, const NodeId& from, Duration retry_after) {
  if (!pull_ || pull_->asked != from) return;
  pull_.reset();
  not_before_ = now + retry_after;
  ChooseAnother();
}

void Repairer::HearUnreadable(Timestamp now) {
  pull_.reset();
  not_before_ = now + kUnreadableWait;
  ChooseAnother();
}

void Repairer::HearAnswer(const NodeId& from) {
  if (pull_ && pull_->asked == from) pull_.reset();
  ForgetIfDone();
}

void Repairer::Tick(Timestamp now) {
  ForgetIfDone();
  if (!source_) return;
  if (pull_) {
    if (now < pull_->deadline) return;
    pull_.reset();
    ChooseAnother();
  }
  if (now >= not_before_) Ask(now, stream_.running());
}

Timestamp Repairer::NextDeadline() const {
  if (!source_) return Timestamp::max();
  return pull_ ? pull_->deadline : not_before_;
}

void Repairer::Drop() {
  source_.reset();
  pull_.reset();
  not_before_ = Timestamp{};
}

void Repairer::Ask(Timestamp now, const DocumentVersion& have) {
  pull_ = Pull{source_->id, now + kPullTimeout};
  outbox_.Send(source_->address, copperlead::Pull{stream_.kind(), have});
}

// Picks a random member that is ahead, in the own zone if there is one. Looks at all members, so
// only used when a peer did not answer or was busy.
void Repairer::ChooseAnother() {
  std::vector<Peer> near;
  std::vector<Peer> far;
  for (const auto& [id, member] : membership_.members()) {
    const bool live = member.record.state == MemberState::kAlive;
    const bool configuration = stream_.kind() == StreamKind::kConfiguration;
    const DocumentVersion& version = configuration ? member.record.configuration : member.machines;
    if (!live || !stream_.Wants(version)) continue;
    const Peer peer{id, member.record.zone, member.record.address, version};
    (InZone(peer) ? near : far).push_back(peer);
  }
  const std::vector<Peer>& choice = near.empty() ? far : near;
  if (choice.empty()) {
    source_.reset();  // The next message of one that is ahead starts anew.
    return;
  }
  source_ = choice[random_.Below(choice.size())];
}

void Repairer::ForgetIfDone() {
  if (source_ && !stream_.Wants(source_->version)) {
    source_.reset();
    pull_.reset();
  }
}

}  // namespace copperlead
