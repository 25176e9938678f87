// Queue of updates about members that are piggybacked on messages. Each is sent a limited number of
// times. Updates sent least often come first, the newest first among them.
//
// Holds ids only; the record is read when the message is sent. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "membership/member.h"

namespace copperlead {

class UpdateQueue {
 public:
  // Queues an update about a member, or resets the number of its sends.
  void Add(const NodeId& id);
  void Remove(const NodeId& id);
  void Clear();

  // Picks up to `count` members for one message and counts one send of each.
  // @param send_limit number of sends after which a member leaves the queue.
  std::vector<NodeId> Take(std::size_t count, std::size_t send_limit);

  std::size_t size() const { return places_.size(); }
  bool empty() const { return places_.empty(); }

 private:
  // Order of sending.
  struct Place {
    std::size_t sends = 0;
    std::uint64_t age = 0;  // Decreases with each Add, so that newer updates sort first.
    NodeId id;

    bool operator<(const Place& other) const {
      return std::tie(sends, age, id) < std::tie(other.sends, other.age, other.id);
    }
  };

  std::uint64_t next_age_ = UINT64_MAX;
  std::set<Place> order_;
  std::map<NodeId, Place> places_;
};

// @return retransmit_factor * log2(node_count + 1), rounded up, at least 1.
std::size_t SendLimit(std::size_t retransmit_factor, std::size_t node_count);

}  // namespace copperlead
