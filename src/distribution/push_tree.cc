#include "distribution/push_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

struct Place {
  bool is_root;
  std::uint64_t score;
  const MemberRecord* member;
};

bool ComesFirst(const Place& left, const Place& right) {
  if (left.is_root != right.is_root) return left.is_root;
  if (left.score != right.score) return left.score < right.score;
  return left.member->id < right.member->id;
}

}  // namespace

PushTree::PushTree(const DocumentVersion& version, const NodeId& root, std::size_t fan_out,
                   const std::vector<MemberRecord>& members)
    : fan_out_(std::max<std::size_t>(fan_out, 1)) {
  const std::uint64_t seed =
      XXH3_64bits_withSeed(&version.major, sizeof version.major, version.minor);
  std::vector<Place> places;
  places.reserve(members.size() + 1);
  // A root that is not known here still takes the first place, as in every other node's tree.
  MemberRecord unknown_root;
  unknown_root.id = root;
  const auto is_root = [&](const MemberRecord& member) { return member.id == root; };
  if (std::none_of(members.begin(), members.end(), is_root)) {
    places.push_back({true, 0, &unknown_root});
  }
  for (const MemberRecord& member : members) {
    const std::uint64_t score = XXH3_64bits_withSeed(member.id.data(), member.id.size(), seed);
    places.push_back({is_root(member), score, &member});
  }
  std::sort(places.begin(), places.end(), ComesFirst);
  order_.reserve(places.size());
  for (const Place& place : places) order_.push_back(*place.member);
}

std::optional<std::size_t> PushTree::IndexOf(const NodeId& id) const {
  for (std::size_t index = 0; index < order_.size(); ++index) {
    if (order_[index].id == id) return index;
  }
  return std::nullopt;
}

std::vector<std::size_t> PushTree::ChildrenOf(std::size_t index) const {
  std::vector<std::size_t> children;
  const std::size_t first = index * fan_out_ + 1;
  const std::size_t end = std::min(first + fan_out_, order_.size());
  for (std::size_t child = first; child < end; ++child) children.push_back(child);
  return children;
}

}  // namespace copperlead
