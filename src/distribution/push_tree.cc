#include "distribution/push_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace copperlead {
namespace {

struct ScoredMember {
  std::uint64_t score;
  const MemberRecord* member;
};

bool ComesBefore(const ScoredMember& left, const ScoredMember& right) {
  if (left.score != right.score) return left.score < right.score;
  return left.member->id < right.member->id;
}

}  // namespace

PushTree::PushTree(const DocumentVersion& version, std::size_t fan_out,
                   const std::vector<MemberRecord>& members)
    : fan_out_(std::max<std::size_t>(fan_out, 1)) {
  const std::uint64_t seed =
      XXH3_64bits_withSeed(&version.major, sizeof version.major, version.minor);
  std::vector<ScoredMember> scored;
  scored.reserve(members.size());
  for (const MemberRecord& member : members) {
    const std::uint64_t score = XXH3_64bits_withSeed(member.id.data(), member.id.size(), seed);
    scored.push_back({score, &member});
  }
  std::sort(scored.begin(), scored.end(), ComesBefore);
  order_.reserve(scored.size());
  for (const ScoredMember& entry : scored) order_.push_back(*entry.member);
}

std::optional<std::size_t> PushTree::IndexOf(const NodeId& id) const {
  for (std::size_t index = 0; index < order_.size(); ++index) {
    if (order_[index].id == id) return index;
  }
  return std::nullopt;
}

std::vector<std::size_t> PushTree::TopLevel() const { return Range(0); }

std::vector<std::size_t> PushTree::ChildrenOf(std::size_t index) const {
  return Range((index + 1) * fan_out_);
}

// Returns up to `fan_out_` indices from `first` on, as far as there are members.
std::vector<std::size_t> PushTree::Range(std::size_t first) const {
  std::vector<std::size_t> indices;
  const std::size_t end = std::min(first + fan_out_, order_.size());
  for (std::size_t index = first; index < end; ++index) indices.push_back(index);
  return indices;
}

}  // namespace copperlead
