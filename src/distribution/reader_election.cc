#include "distribution/reader_election.h"

#include <xxhash.h>

#include <algorithm>

namespace copperlead {
namespace {

struct Candidate {
  std::uint64_t score;
  const MemberRecord* member;
};

bool RanksBefore(const Candidate& left, const Candidate& right) {
  if (left.score != right.score) return left.score > right.score;
  return left.member->id < right.member->id;
}

std::vector<Candidate> Score(const ZoneName& zone,
                             const std::vector<const MemberRecord*>& members) {
  std::vector<Candidate> candidates;
  candidates.reserve(members.size());
  for (const MemberRecord* member : members) {
    candidates.push_back({ReaderScore(zone, member->id), member});
  }
  return candidates;
}

}  // namespace

std::uint64_t ReaderScore(const ZoneName& zone, const NodeId& id) {
  const std::uint64_t zone_hash = XXH3_64bits(zone.data(), zone.size());
  return XXH3_64bits_withSeed(id.data(), id.size(), zone_hash);
}

bool RanksAhead(const ZoneName& zone, const NodeId& left, const NodeId& right) {
  const std::uint64_t left_score = ReaderScore(zone, left);
  const std::uint64_t right_score = ReaderScore(zone, right);
  if (left_score != right_score) return left_score > right_score;
  return left < right;
}

std::vector<MemberRecord> ElectReaders(const ZoneName& zone,
                                       const std::vector<const MemberRecord*>& members,
                                       std::size_t count) {
  std::vector<Candidate> candidates = Score(zone, members);
  const std::size_t elected = std::min(count, candidates.size());
  const auto end = candidates.begin() + static_cast<std::ptrdiff_t>(elected);
  std::partial_sort(candidates.begin(), end, candidates.end(), RanksBefore);
  std::vector<MemberRecord> readers;
  for (std::size_t rank = 0; rank < elected; ++rank) readers.push_back(*candidates[rank].member);
  return readers;
}

std::size_t ReaderRank(const ZoneName& zone, const std::vector<const MemberRecord*>& members,
                       const NodeId& id) {
  const std::vector<Candidate> candidates = Score(zone, members);
  const auto has_id = [&](const Candidate& candidate) { return candidate.member->id == id; };
  const auto found = std::find_if(candidates.begin(), candidates.end(), has_id);
  if (found == candidates.end()) return members.size();
  const auto ahead =
      std::count_if(candidates.begin(), candidates.end(),
                    [&](const Candidate& candidate) { return RanksBefore(candidate, *found); });
  return static_cast<std::size_t>(ahead);
}

}  // namespace copperlead
