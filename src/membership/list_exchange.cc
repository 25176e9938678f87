#include "membership/list_exchange.h"

#include <algorithm>

namespace copperlead {
namespace {

// Excess of messages with another hash over messages with the same one before a list is requested.
constexpr std::size_t kDifferencesToRequest = 3;
// The excess that is needed while gossip is expected to be faster than a list. After so many
// messages gossip has had enough time.
constexpr std::size_t kDifferencesToRequestDespiteGossip = 32;
// Consecutive messages with the same hash after which queued updates are assumed to be known to
// all.
constexpr std::size_t kAgreementsToClearQueue = 16;
// A list is faster than gossip when more than one update per this many members is queued, or more
// updates than this many messages hold. This happens when many nodes start at the same time or a
// partition heals.
constexpr std::size_t kMembersPerQueuedUpdate = 8;
constexpr std::size_t kFullQueueMessages = 8;
// Full lists sent per probe interval. Further requests get a sample, because many nodes may join
// through few contacts at the same time.
constexpr std::size_t kFullListsPerInterval = 16;

// After a join the next exchange starts within sync_interval divided by this.
constexpr int kFirstExchangeDivisor = 3;

}  // namespace

ListExchange::ListExchange(const MembershipSettings& settings, RandomEngine& random, Timestamp now)
    : settings_(settings), random_(random), window_start_(now) {
  next_request_ = now + RandomDuration(random_, settings_.sync_interval);
}

void ListExchange::StartSettling(Timestamp now) {
  settling_ = true;
  next_request_ = now + RandomDuration(random_, settings_.sync_interval / kFirstExchangeDivisor);
}

void ListExchange::RecordList(Timestamp now, std::size_t changed, std::size_t members) {
  if (!settling_) return;
  settling_ = changed > members / kMembersPerQueuedUpdate;
  if (settling_) StartSettling(now);
}

ExchangeAdvice ListExchange::Compare(Timestamp now, const NodeSummary& peer, std::uint64_t own_hash,
                                     const ExchangeLoad& load) {
  if (own_hash != last_own_hash_) agreements_ = 0;
  last_own_hash_ = own_hash;
  if (peer.membership_hash == own_hash) return RecordAgreement();
  agreements_ = 0;
  if (differences_ < kDifferencesToRequestDespiteGossip) ++differences_;
  const auto needed =
      IsGossipFaster(load) ? kDifferencesToRequestDespiteGossip : kDifferencesToRequest;
  if (differences_ < needed || now < next_request_) return ExchangeAdvice::kNothing;
  differences_ = 0;
  next_request_ = now + settings_.sync_interval + RandomDuration(random_, settings_.sync_interval);
  pending_request_ = peer.record.id;
  return ExchangeAdvice::kRequestList;
}

ExchangeAdvice ListExchange::RecordAgreement() {
  if (differences_ > 0) --differences_;
  if (++agreements_ < kAgreementsToClearQueue) return ExchangeAdvice::kNothing;
  agreements_ = 0;
  return ExchangeAdvice::kClearQueue;
}

bool ListExchange::IsGossipFaster(const ExchangeLoad& load) const {
  const auto bound = kFullQueueMessages * settings_.max_updates_per_message;
  const auto full_queue =
      std::clamp(load.members / kMembersPerQueuedUpdate, settings_.max_updates_per_message, bound);
  return load.queued_updates > 0 && load.queued_updates < full_queue;
}

bool ListExchange::TakePendingReply(const NodeId& peer) {
  if (pending_request_ != peer) return false;
  pending_request_.reset();
  return true;
}

bool ListExchange::TryAdmitFullList(Timestamp now) {
  if (now - window_start_ >= settings_.probe_interval) {
    window_start_ = now;
    lists_in_window_ = 0;
  }
  ++lists_in_window_;
  return lists_in_window_ <= kFullListsPerInterval;
}

}  // namespace copperlead
