// Who of a zone reads the source: a soft role by rendezvous hashing. Pure.
//
// No shared storage can hold a lease, so nothing is agreed on: each node ranks the members that it
// believes eligible. Different views may give two readers for a while; versions order what they
// read, only the source's load is higher.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/member.h"

namespace copperlead {

// Rank 0 reads, rank 1 is its standby.
inline constexpr std::size_t kReaderRank = 0;
inline constexpr std::size_t kStandbyRank = 1;
// Members below this rank look at the source at all.
inline constexpr std::size_t kPollingRanks = 4;

// @return the weight of a member in its zone's ranking; the highest is reader.
std::uint64_t ReaderScore(const ZoneName& zone, const NodeId& id);

// @return true when `left` ranks ahead of `right` in the zone.
bool RanksAhead(const ZoneName& zone, const NodeId& left, const NodeId& right);

// @param members of one zone, eligible for the role, in any order; none null.
// @return the first `count` of the ranking, the reader first; fewer when there are fewer.
std::vector<MemberRecord> ElectReaders(const ZoneName& zone,
                                       const std::vector<const MemberRecord*>& members,
                                       std::size_t count);

// @return the place of `id` in the ranking; the number of members when it is not among them.
std::size_t ReaderRank(const ZoneName& zone, const std::vector<const MemberRecord*>& members,
                       const NodeId& id);

}  // namespace copperlead
