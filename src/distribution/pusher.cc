#include "distribution/pusher.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "distribution/reader_election.h"

namespace copperlead {
namespace {

// A member is assumed to still run the version that it reported at most this long ago.
constexpr Duration kMaxVersionAge = std::chrono::seconds(2);
constexpr std::size_t kMaxRetryDoublings = 4;

}  // namespace

Pusher::Pusher(const AgentSettings& settings, const Membership& membership, FleetView& view,
               DocumentStream& stream, const SourceEtag& etag, Outbox& outbox)
    : settings_(settings),
      membership_(membership),
      view_(view),
      stream_(stream),
      etag_(etag),
      outbox_(outbox) {}

void Pusher::StartVersion() {
  if (version_ == stream_.running()) return;
  version_ = stream_.running();
  forwarded_ = false;
  started_ = false;
  tree_.reset();
  outstanding_.clear();
}

void Pusher::BuildTree() {
  if (tree_) return;
  // A flat push has all members on the top level.
  const bool flat = settings_.strategy == Strategy::kFlatPush;
  const std::vector<MemberRecord> zone = membership_.EligibleInZone(membership_.self().zone);
  tree_.emplace(version_, flat ? zone.size() : settings_.fan_out, zone);
}

void Pusher::PushInZone(Timestamp now) {
  StartVersion();
  if (started_ || version_.none()) return;
  started_ = true;
  root_ = membership_.self().id;
  BuildTree();
  PushTo(now, tree_->TopLevel());
  PushToOwnChildren(now);
}

void Pusher::PushToAllZones(Timestamp now) {
  PushInZone(now);
  for (const auto& [zone, readers] : view_.readers()) {
    if (zone != membership_.self().zone) PushToReader(now, zone, kReaderRank);
  }
}

void Pusher::Forward(Timestamp now, const NodeId& root) {
  StartVersion();
  if (forwarded_ || version_.none()) return;
  root_ = root;
  BuildTree();
  PushToOwnChildren(now);
}

void Pusher::PushToOwnChildren(Timestamp now) {
  if (forwarded_) return;
  forwarded_ = true;
  const std::optional<std::size_t> own_index = tree_->IndexOf(membership_.self().id);
  if (own_index) PushTo(now, tree_->ChildrenOf(*own_index));
}

void Pusher::PushTo(Timestamp now, const std::vector<std::size_t>& indices, bool taken_over) {
  for (const std::size_t index : indices) {
    const MemberRecord& member = tree_->order()[index];
    if (member.id == membership_.self().id || outstanding_.contains(member.id)) continue;
    Outstanding push;
    push.address = member.address;
    push.root = root_;
    push.tree_index = index;
    push.taken_over = taken_over;
    Send(now, push, BaseFor(now, member.id));
    outstanding_[member.id] = std::move(push);
  }
}

void Pusher::PushToReader(Timestamp now, const ZoneName& zone, std::size_t rank) {
  const auto found = view_.readers().find(zone);
  if (found == view_.readers().end() || rank >= found->second.size()) return;
  const MemberRecord& reader = found->second[rank];
  const DocumentVersion known = KnownVersion(reader.id);
  if (known == version_ || IsNewer(known, version_)) return;
  Outstanding push;
  push.address = reader.address;
  push.root = membership_.self().id;
  push.zone = zone;
  push.reader_rank = rank;
  Send(now, push, BaseFor(now, reader.id));
  outstanding_[reader.id] = std::move(push);
}

void Pusher::Send(Timestamp now, Outstanding& push, const DocumentVersion& base) {
  if (push.attempts == 0) push.first_sent = now;
  // The wait doubles with each attempt, so that a slow receiver does not get more load because it
  // is slow.
  const std::size_t doublings = std::min(push.attempts, kMaxRetryDoublings);
  push.next_retry = now + settings_.push_retry * (std::int64_t{1} << doublings);
  ++push.attempts;
  Transfer transfer = stream_.TransferFrom(base);
  std::string etag = etag_.EtagToForward(transfer.version);
  outbox_.Send(push.address, Push{std::move(transfer), push.root, std::move(etag)});
}

void Pusher::RecordVersion(const NodeId& id, const DocumentVersion& version) {
  const auto found = outstanding_.find(id);
  if (found == outstanding_.end()) return;
  if (!IsNewer(version_, version)) outstanding_.erase(found);
}

bool Pusher::ResendFrom(Timestamp now, const NodeId& id, const DocumentVersion& have) {
  const auto found = outstanding_.find(id);
  if (found == outstanding_.end() || version_ != stream_.running()) return false;
  Send(now, found->second, have);
  return true;
}

void Pusher::Tick(Timestamp now) {
  if (version_ != stream_.running()) outstanding_.clear();
  std::vector<NodeId> due;
  for (const auto& [id, push] : outstanding_) {
    if (push.next_retry <= now) due.push_back(id);
  }
  for (const NodeId& id : due) {
    const auto found = outstanding_.find(id);
    if (found == outstanding_.end()) continue;
    if (found->second.attempts < settings_.push_attempts) {
      Send(now, found->second, BaseFor(now, id));
      continue;
    }
    const Outstanding abandoned = std::move(found->second);
    outstanding_.erase(found);
    GiveUp(now, id, abandoned);
  }
}

// A member from which no message arrived since the push is presumed dead, and its children are
// pushed to in its place. A member from which one did arrive is only slow; its children may be slow
// too and are left to repair. The children of members that were taken over are not taken over in
// turn, because a fleet that is short of processor time would react with ever more pushes.
void Pusher::GiveUp(Timestamp now, const NodeId& id, const Outstanding& push) {
  if (push.tree_index) {
    const bool take_over_children = !push.taken_over && !HasSentSince(id, push.first_sent);
    if (take_over_children) PushTo(now, tree_->ChildrenOf(*push.tree_index), /*taken_over=*/true);
  } else if (push.reader_rank < kStandbyRank) {
    PushToReader(now, push.zone, push.reader_rank + 1);
  }
}

bool Pusher::HasSentSince(const NodeId& id, Timestamp time) const {
  const auto found = membership_.members().find(id);
  return found != membership_.members().end() && found->second.last_contact >= time;
}

Timestamp Pusher::NextDeadline() const {
  Timestamp deadline = Timestamp::max();
  for (const auto& [id, push] : outstanding_) deadline = std::min(deadline, push.next_retry);
  return deadline;
}

DocumentVersion Pusher::VersionOf(const Member& member) const {
  const bool configuration = stream_.kind() == StreamKind::kConfiguration;
  return configuration ? member.record.configuration : member.machines;
}

DocumentVersion Pusher::KnownVersion(const NodeId& id) const {
  const auto found = membership_.members().find(id);
  return found == membership_.members().end() ? DocumentVersion{} : VersionOf(found->second);
}

// In a large fleet the last message from a member is usually old, and by now the member runs the
// version that this node ran before. A member that does not run it pulls with its own base.
DocumentVersion Pusher::BaseFor(Timestamp now, const NodeId& id) const {
  const auto found = membership_.members().find(id);
  if (found == membership_.members().end()) return stream_.previous();
  const DocumentVersion known = VersionOf(found->second);
  const bool fresh = now - found->second.last_contact <= kMaxVersionAge;
  return fresh && stream_.Holds(known) ? known : stream_.previous();
}

}  // namespace copperlead
