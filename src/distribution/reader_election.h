// Election of the members of a zone that read the source, by rendezvous hashing. Pure functions.
//
// There is no shared storage to hold a lease and no agreement between nodes: each node ranks the
// members that it believes eligible. Nodes with different views may elect two readers for a while.
// That only raises the load of the source, because versions order what the readers read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/member.h"

namespace copperlead {

// Rank 0 is the reader, rank 1 its standby.
inline constexpr std::size_t kReaderRank = 0;
inline constexpr std::size_t kStandbyRank = 1;
// Number of ranks that poll the source.
inline constexpr std::size_t kPollingRanks = 4;

// @return the weight of a member in the ranking of its zone. The highest weight is the reader's.
std::uint64_t ReaderScore(const ZoneName& zone, const NodeId& id);

// @return true when `left` ranks ahead of `right` in the zone.
bool RanksAhead(const ZoneName& zone, const NodeId& left, const NodeId& right);

// @param members of one zone, eligible for the role, in any order; none null.
// @return the first `count` members of the ranking, the reader first, or all if there are fewer.
std::vector<MemberRecord> ElectReaders(const ZoneName& zone,
                                       const std::vector<const MemberRecord*>& members,
                                       std::size_t count);

// @return the rank of `id`, or the number of members when it is not among them.
std::size_t ReaderRank(const ZoneName& zone, const std::vector<const MemberRecord*>& members,
                       const NodeId& id);

}  // namespace copperlead
