#include "distribution/pusher.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "distribution/reader_election.h"

namespace copperlead {

Pusher::Pusher(const AgentSettings& settings, const Membership& membership, FleetView& view,
               DocumentStream& stream, Outbox& outbox)
    : settings_(settings), membership_(membership), view_(view), stream_(stream), outbox_(outbox) {}

void Pusher::StartVersion() {
  if (version_ == stream_.running()) return;
  version_ = stream_.running();
  forwarded_ = false;
  tree_.reset();
  outstanding_.clear();
}

void Pusher::BuildTree(const NodeId& root) {
  // A flat push is a tree in which all others are the root's children.
  const bool flat = settings_.strategy == Strategy::kFlatPush;
  const std::size_t fan_out = flat ? view_.own_zone().size() + 1 : settings_.fan_out;
  tree_.emplace(version_, root, fan_out, view_.own_zone());
  tree_root_ = root;
}

void Pusher::SpreadInZone(Timestamp now) { Forward(now, membership_.self().id); }

void Pusher::SpreadEverywhere(Timestamp now) {
  SpreadInZone(now);
  for (const auto& [zone, ranked] : view_.ranked_by_zone()) {
    if (zone != membership_.self().zone) PushToReader(now, zone, kReaderRank);
  }
}

void Pusher::Forward(Timestamp now, const NodeId& root) {
  StartVersion();
  if (forwarded_ || version_.none()) return;
  forwarded_ = true;
  view_.Refresh(now);
  BuildTree(root);
  const std::optional<std::size_t> own_index = tree_->IndexOf(membership_.self().id);
  if (own_index) PushToChildren(now, *own_index);
}

void Pusher::PushToChildren(Timestamp now, std::size_t index) {
  for (const std::size_t child : tree_->ChildrenOf(index)) {
    const MemberRecord& member = tree_->order()[child];
    if (member.id == membership_.self().id) continue;
    Outstanding push;
    push.address = member.address;
    push.root = tree_root_;
    push.tree_index = child;
    Send(now, push, BaseFor(member.id));
    outstanding_[member.id] = std::move(push);
  }
}

void Pusher::PushToReader(Timestamp now, const ZoneName& zone, std::size_t rank) {
  const auto found = view_.ranked_by_zone().find(zone);
  if (found == view_.ranked_by_zone().end() || rank >= found->second.size()) return;
  const MemberRecord& reader = found->second[rank];
  const DocumentVersion known = KnownVersion(reader.id);
  if (known == version_ || IsNewer(known, version_)) return;
  Outstanding push;
  push.address = reader.address;
  push.root = membership_.self().id;
  push.zone = zone;
  push.reader_rank = rank;
  Send(now, push, BaseFor(reader.id));
  outstanding_[reader.id] = std::move(push);
}

void Pusher::Send(Timestamp now, Outstanding& push, const DocumentVersion& base) {
  ++push.attempts;
  push.next_retry = now + settings_.push_retry;
  outbox_.Send(push.address, Push{stream_.TransferFrom(base), push.root});
}

void Pusher::HearVersion(const NodeId& id, const DocumentVersion& version) {
  const auto found = outstanding_.find(id);
  if (found == outstanding_.end()) return;
  if (!IsNewer(version_, version)) outstanding_.erase(found);
}

bool Pusher::RepeatFrom(Timestamp now, const NodeId& id, const DocumentVersion& have) {
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
      Send(now, found->second, BaseFor(id));
      continue;
    }
    const Outstanding lost = std::move(found->second);
    outstanding_.erase(found);
    GiveUp(now, lost);
  }
}

void Pusher::GiveUp(Timestamp now, const Outstanding& push) {
  if (push.tree_index) {
    PushToChildren(now, *push.tree_index);
  } else if (push.reader_rank < kStandbyRank) {
    PushToReader(now, push.zone, push.reader_rank + 1);
  }
}

Timestamp Pusher::NextDeadline() const {
  Timestamp deadline = Timestamp::max();
  for (const auto& [id, push] : outstanding_) deadline = std::min(deadline, push.next_retry);
  return deadline;
}

DocumentVersion Pusher::KnownVersion(const NodeId& id) const {
  const auto found = membership_.members().find(id);
  if (found == membership_.members().end()) return {};
  const bool configuration = stream_.kind() == StreamKind::kConfiguration;
  return configuration ? found->second.record.configuration : found->second.machines;
}

DocumentVersion Pusher::BaseFor(const NodeId& id) const {
  const DocumentVersion known = KnownVersion(id);
  return known.none() ? stream_.previous() : known;
}

}  // namespace copperlead
