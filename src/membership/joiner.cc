#include "membership/joiner.h"

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

// Attempts start this far apart, in probe intervals, and double up to the limit.
constexpr int kBackoffLimit = 16;
// Once somebody has answered, this many more attempts are made to hear join_contacts nodes.
constexpr std::size_t kAttemptsAfterAnswer = 3;

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
  attempts_after_answer_ = 0;
  answered_.clear();
}

std::vector<SocketAddress> Joiner::Advance(Timestamp now, const MemberList& members) {
  if (!next_attempt_ || now < *next_attempt_) return {};
  if (!answered_.empty() && ++attempts_after_answer_ > kAttemptsAfterAnswer) {
    next_attempt_.reset();
    return {};
  }
  auto targets = Targets(members);
  const auto count = std::min(settings_.join_contacts, targets.size());
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(targets[index], targets[index + RandomBelow(random_, targets.size() - index)]);
  }
  targets.resize(count);
  const int factor = std::min(1 << std::min<std::size_t>(attempts_, 8), kBackoffLimit);
  ++attempts_;
  const Duration backoff = settings_.probe_interval * factor;
  next_attempt_ = now + backoff / 2 + RandomDuration(random_, backoff / 2);
  return targets;
}

void Joiner::TakeAnswer(const NodeId& sender, const DocumentVersion& remembered,
                        const DocumentVersion& running) {
  answered_.insert(sender);
  if (IsNewer(remembered, highest_heard_)) highest_heard_ = remembered;
  if (IsNewer(running, highest_heard_)) highest_heard_ = running;
  if (answered_.size() >= settings_.join_contacts) next_attempt_.reset();
}

std::vector<SocketAddress> Joiner::Targets(const MemberList& members) const {
  std::set<SocketAddress> addresses(contacts_.begin(), contacts_.end());
  for (const auto& [id, member] : members.members()) {
    const auto& record = member.record;
    if (answered_.contains(id)) {
      addresses.erase(record.address);
    } else if (record.state != MemberState::kDead) {
      addresses.insert(record.address);
    }
  }
  addresses.erase(members.self().address);
  return {addresses.begin(), addresses.end()};
}

}  // namespace copperlead
