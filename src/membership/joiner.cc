#include "membership/joiner.h"

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

// Limit of the backoff between attempts, in probe intervals. It starts at one and doubles.
constexpr int kMaxBackoffIntervals = 16;
// Number of further attempts to get replies from join_contacts nodes after the first reply.
constexpr std::size_t kAttemptsAfterReply = 3;

}  // namespace

void Joiner::AddContacts(const std::vector<SocketAddress>& contacts) {
  for (const auto& contact : contacts) {
    const bool known = std::find(contacts_.begin(), contacts_.end(), contact) != contacts_.end();
    if (!known) contacts_.push_back(contact);
  }
}

void Joiner::Start(Timestamp now) {
  next_attempt_ = now;
  attempts_ = 0;
  attempts_after_reply_ = 0;
  replied_.clear();
}

std::vector<SocketAddress> Joiner::Advance(Timestamp now, const MemberList& members) {
  if (!next_attempt_ || now < *next_attempt_) return {};
  if (!replied_.empty() && ++attempts_after_reply_ > kAttemptsAfterReply) {
    next_attempt_.reset();
    return {};
  }
  auto targets = Targets(members);
  const auto count = std::min(settings_.join_contacts, targets.size());
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(targets[index], targets[index + RandomBelow(random_, targets.size() - index)]);
  }
  targets.resize(count);
  const int factor = std::min(1 << std::min<std::size_t>(attempts_, 8), kMaxBackoffIntervals);
  ++attempts_;
  const Duration backoff = settings_.probe_interval * factor;
  next_attempt_ = now + backoff / 2 + RandomDuration(random_, backoff / 2);
  return targets;
}

void Joiner::RecordReply(const NodeId& sender, const DocumentVersion& remembered,
                         const DocumentVersion& running) {
  replied_.insert(sender);
  if (IsNewer(remembered, highest_version_received_)) highest_version_received_ = remembered;
  if (IsNewer(running, highest_version_received_)) highest_version_received_ = running;
  if (replied_.size() >= settings_.join_contacts) next_attempt_.reset();
}

std::vector<SocketAddress> Joiner::Targets(const MemberList& members) const {
  std::set<SocketAddress> addresses(contacts_.begin(), contacts_.end());
  for (const auto& [id, member] : members.members()) {
    const auto& record = member.record;
    if (replied_.contains(id)) {
      addresses.erase(record.address);
    } else if (record.state != MemberState::kDead) {
      addresses.insert(record.address);
    }
  }
  addresses.erase(members.self().address);
  return {addresses.begin(), addresses.end()};
}

}  // namespace copperlead
