#include "membership/update_queue.h"

#include <algorithm>
#include <cmath>

namespace copperlead {

void UpdateQueue::Add(const NodeId& id) {
  Remove(id);
  const Place place{0, next_age_--, id};
  order_.insert(place);
  places_.emplace(id, place);
}

void UpdateQueue::Remove(const NodeId& id) {
  const auto found = places_.find(id);
  if (found == places_.end()) return;
  order_.erase(found->second);
  places_.erase(found);
}

void UpdateQueue::Clear() {
  order_.clear();
  places_.clear();
}

std::vector<NodeId> UpdateQueue::Take(std::size_t count, std::size_t send_limit) {
  std::vector<Place> taken;
  while (taken.size() < count && !order_.empty()) {
    taken.push_back(*order_.begin());
    order_.erase(order_.begin());
  }
  std::vector<NodeId> ids;
  for (auto& place : taken) {
    ids.push_back(place.id);
    ++place.sends;
    if (place.sends >= send_limit) {
      places_.erase(place.id);
      continue;
    }
    order_.insert(place);
    places_[place.id] = place;
  }
  return ids;
}

std::size_t SendLimit(std::size_t retransmit_factor, std::size_t node_count) {
  const double sends =
      static_cast<double>(retransmit_factor) * std::log2(static_cast<double>(node_count) + 1.0);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(sends)));
}

}  // namespace copperlead
