#include "distribution/reader_election.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace copperlead {

std::uint64_t ReaderScore(const ZoneName& zone, const NodeId& id) {
  const std::uint64_t zone_hash = XXH3_64bits(zone.data(), zone.size());
  return XXH3_64bits_withSeed(id.data(), id.size(), zone_hash);
}

std::vector<MemberRecord> RankReaders(const ZoneName& zone, std::vector<MemberRecord> members) {
  using Scored = std::pair<std::uint64_t, std::size_t>;
  std::vector<Scored> scores;
  scores.reserve(members.size());
  for (std::size_t index = 0; index < members.size(); ++index) {
    scores.emplace_back(ReaderScore(zone, members[index].id), index);
  }
  std::sort(scores.begin(), scores.end(), [&](const Scored& left, const Scored& right) {
    if (left.first != right.first) return left.first > right.first;
    return members[left.second].id < members[right.second].id;
  });
  std::vector<MemberRecord> ranked;
  ranked.reserve(members.size());
  for (const Scored& scored : scores) ranked.push_back(std::move(members[scored.second]));
  return ranked;
}

}  // namespace copperlead
