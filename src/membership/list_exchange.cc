#include "membership/list_exchange.h"

#include <algorithm>

namespace copperlead {
namespace {

// Messages with another hash, more than with the same one, before lists are compared.
constexpr std::size_t kDifferencesToAsk = 3;
// As many although updates are queued: gossip has had its time.
constexpr std::size_t kDifferencesToAskAnyway = 32;
// Messages in a row with the same hash after which queued updates are taken as known to all.
constexpr std::size_t kAgreementsToDrop = 16;
// With more updates queued than one in this many members, or than this many messages hold, a list
// is faster than waiting for them: a herd starts, or a cut heals.
constexpr std::size_t kMembersPerQueuedUpdate = 8;
constexpr std::size_t kFullQueueMessages = 8;
// Whole lists given away per probe interval; more askers get a sample (a herd joins through few).
constexpr std::size_t kWholeListsPerInterval = 16;

// After a join the next exchange comes within sync_interval divided by this.
constexpr int kHurryFactor = 3;

}  // namespace

ListExchange::ListExchange(const MembershipSettings& settings, RandomEngine& random, Timestamp now)
    : settings_(settings), random_(random), window_start_(now) {
  next_request_ = now + RandomDuration(random_, settings_.sync_interval);
}

void ListExchange::StartSettling(Timestamp now) {
  settling_ = true;
  next_request_ = now + RandomDuration(random_, settings_.sync_interval / kHurryFactor);
}

void ListExchange::NoteList(Timestamp now, std::size_t changed, std::size_t members) {
  if (!settling_) return;
  settling_ = changed > members / kMembersPerQueuedUpdate;
  if (settling_) StartSettling(now);
}

ExchangeAdvice ListExchange::Compare(Timestamp now, const NodeSummary& peer, std::uint64_t own_hash,
                                     const ExchangeLoad& load) {
  if (own_hash != last_own_hash_) agreements_ = 0;
  last_own_hash_ = own_hash;
  if (peer.membership_hash == own_hash) return NoteAgreement();
  agreements_ = 0;
  if (differences_ < kDifferencesToAskAnyway) ++differences_;
  const auto needed = IsGossipFaster(load) ? kDifferencesToAskAnyway : kDifferencesToAsk;
  if (differences_ < needed || now < next_request_) return ExchangeAdvice::kNothing;
  differences_ = 0;
  next_request_ = now + settings_.sync_interval + RandomDuration(random_, settings_.sync_interval);
  asked_ = peer.record.id;
  return ExchangeAdvice::kAskForList;
}

ExchangeAdvice ListExchange::NoteAgreement() {
  if (differences_ > 0) --differences_;
  if (++agreements_ < kAgreementsToDrop) return ExchangeAdvice::kNothing;
  agreements_ = 0;
  return ExchangeAdvice::kDropQueue;
}

bool ListExchange::IsGossipFaster(const ExchangeLoad& load) const {
  const auto bound = kFullQueueMessages * settings_.max_updates_per_message;
  const auto full_queue =
      std::clamp(load.members / kMembersPerQueuedUpdate, settings_.max_updates_per_message, bound);
  return load.queued_updates > 0 && load.queued_updates < full_queue;
}

bool ListExchange::TakeAnswer(const NodeId& peer) {
  if (asked_ != peer) return false;
  asked_.reset();
  return true;
}

bool ListExchange::AdmitWholeList(Timestamp now) {
  if (now - window_start_ >= settings_.probe_interval) {
    window_start_ = now;
    lists_in_window_ = 0;
  }
  ++lists_in_window_;
  return lists_in_window_ <= kWholeListsPerInterval;
}

}  // namespace copperlead
