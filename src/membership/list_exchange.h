// When two nodes whose lists differ exchange them, and how many whole lists a node gives away.
// Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "membership/member.h"
#include "membership/membership.h"
#include "membership/random.h"

namespace copperlead {

// How busy gossip is, against the size of the fleet.
struct ExchangeLoad {
  std::size_t queued_updates = 0;
  std::size_t members = 0;
};

enum class ExchangeAdvice : std::uint8_t {
  kNothing,
  kAskForList,  // Ask the peer just compared with.
  kDropQueue,   // All peers heard lately agree: queued updates are known.
};

class ListExchange {
 public:
  ListExchange(const MembershipSettings& settings, RandomEngine& random, Timestamp now);

  // Notes whether a peer's hash was like this node's, and says what follows.
  ExchangeAdvice Compare(Timestamp now, const NodeSummary& peer, std::uint64_t own_hash,
                         const ExchangeLoad& load);
  // Begins a time of more frequent exchanges: in a herd's start the first lists are short. It ends
  // with the first list that brings little.
  void StartSettling(Timestamp now);
  // Notes a list taken from a peer, and in how many members it changed this node's view.
  void NoteList(Timestamp now, std::size_t changed, std::size_t members);
  // True once for the answer to a request that Compare() advised.
  bool TakeAnswer(const NodeId& peer);

  // Counts one list given to a peer.
  // @return false when this interval's whole lists are used up: give a sample.
  bool AdmitWholeList(Timestamp now);

 private:
  ExchangeAdvice NoteAgreement();
  bool IsGossipFaster(const ExchangeLoad& load) const;

  const MembershipSettings& settings_;
  RandomEngine& random_;
  Timestamp next_request_{};
  bool settling_ = false;
  std::size_t differences_ = 0;  // Less the agreements since.
  std::size_t agreements_ = 0;   // In a row, about the same hash.
  std::uint64_t last_own_hash_ = 0;
  std::optional<NodeId> asked_;
  Timestamp window_start_{};
  std::size_t lists_in_window_ = 0;
};

}  // namespace copperlead
