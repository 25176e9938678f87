// The queue of a discrete-event simulation: ordered by time, then by order of insertion.
#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"

namespace copperlead::simulation {

// Not thread-safe. Payload must be movable.
template <class Payload>
class EventQueue {
 public:
  void Push(Timestamp time, Payload payload) {
    heap_.push_back(Entry{time, next_sequence_++, std::move(payload)});
    std::push_heap(heap_.begin(), heap_.end(), Later);
  }

  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  // Time of the next event. The queue must not be empty.
  Timestamp next_time() const { return heap_.front().time; }

  // Removes the next event. The queue must not be empty.
  Payload Pop() {
    std::pop_heap(heap_.begin(), heap_.end(), Later);
    Payload payload = std::move(heap_.back().payload);
    heap_.pop_back();
    return payload;
  }

 private:
  struct Entry {
    Timestamp time;
    std::uint64_t sequence;
    Payload payload;
  };

  static bool Later(const Entry& left, const Entry& right) {
    if (left.time != right.time) return left.time > right.time;
    return left.sequence > right.sequence;
  }

  std::vector<Entry> heap_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace copperlead::simulation
