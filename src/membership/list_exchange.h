// Decides when two nodes whose member lists differ exchange them, and limits how many full lists a
// node sends. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "membership/member.h"
#include "membership/membership.h"
#include "membership/random.h"

namespace copperlead {

// Amount of queued gossip and size of the fleet.
struct ExchangeLoad {
  std::size_t queued_updates = 0;
  std::size_t members = 0;
};

enum class ExchangeAdvice : std::uint8_t {
  kNothing,
  kRequestList,  // Request the list of the peer just compared with.
  kClearQueue,   // Recent peers all had the same hash, so they know the queued updates.
};

class ListExchange {
 public:
  ListExchange(const MembershipSettings& settings, RandomEngine& random, Timestamp now);

  // Records whether a peer's hash equals this node's, and returns what to do about it.
  ExchangeAdvice Compare(Timestamp now, const NodeSummary& peer, std::uint64_t own_hash,
                         const ExchangeLoad& load);
  // Starts a period of more frequent exchanges, because the first lists are short when many nodes
  // start at the same time. It ends with the first list that changes few members.
  void StartSettling(Timestamp now);
  // Records a list received from a peer and the number of members whose record it changed.
  void RecordList(Timestamp now, std::size_t changed, std::size_t members);
  // True once for the reply to a request that Compare() advised.
  bool TakePendingReply(const NodeId& peer);

  // Counts one list sent to a peer.
  // @return false when the limit of full lists per interval is reached and a sample is to be sent.
  bool TryAdmitFullList(Timestamp now);

 private:
  ExchangeAdvice RecordAgreement();
  bool IsGossipFaster(const ExchangeLoad& load) const;

  const MembershipSettings& settings_;
  RandomEngine& random_;
  Timestamp next_request_{};
  bool settling_ = false;
  // Number of differing hashes less the number of equal ones since; at least 0.
  std::size_t differences_ = 0;
  // Number of consecutive equal hashes while this node's hash stayed the same.
  std::size_t agreements_ = 0;
  std::uint64_t last_own_hash_ = 0;
  std::optional<NodeId> pending_request_;
  Timestamp window_start_{};
  std::size_t lists_in_window_ = 0;
};

}  // namespace copperlead
