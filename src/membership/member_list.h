// The members one node knows, and the rule by which a statement about a member replaces another.
//
// Statements about one node are ordered by incarnation, then dead > leaving > suspect > alive. The
// configuration in a record stands outside that order: it is a lower bound, merged by maximum.
// Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "membership/member.h"
#include "membership/membership.h"

namespace copperlead {

// True when `statement` replaces `held`; both are about one node. Equal statements do not.
bool Outranks(const MemberRecord& statement, const MemberRecord& held);

// What a statement did to the list.
enum class ApplyResult : std::uint8_t {
  kUnchanged,  // Known already, or outranked; its configuration may still have been merged.
  kChanged,    // Replaced what was held of a known member.
  kRevived,    // Replaced the record of a dead member by one that is not dead.
  kAdded,      // A member not known before.
};

class MemberList {
 public:
  explicit MemberList(MemberRecord self);

  const MemberRecord& self() const { return self_; }
  // Replaces state and incarnation of this node; the incarnation must not fall.
  void SetSelf(MemberState state, std::uint32_t incarnation);
  // Takes `configuration` unless it is older than the present one.
  void SetSelfConfiguration(const DocumentVersion& configuration);

  const std::map<NodeId, Member>& members() const { return members_; }
  // @return the member, or null. Never finds this node.
  const Member* Find(const NodeId& id) const;

  // Takes a statement about another node, from whatever source.
  ApplyResult Apply(Timestamp now, const MemberRecord& statement);
  // Takes what a node says of itself; also records that it was heard, unless the summary is of an
  // earlier incarnation than the one known.
  ApplyResult ApplySummary(Timestamp now, const NodeSummary& summary);
  // Adds a dead member that another node remembered; it is forgotten sooner, and not listed on.
  void AddRemembered(Timestamp now, const MemberRecord& record);
  // Puts a member back to alive at its incarnation: only for verdicts that this node never spread.
  void Restore(Timestamp now, const NodeId& id);
  // Marks members that the platform lists as leaving: not eligible while another of their zone is.
  void SetPlatformLeaving(const NodeId& id, bool leaving);
  // Drops members that have been dead for `age`.
  // @return their ids.
  std::vector<NodeId> ForgetDead(Timestamp now, Duration age);

  // Over (id, incarnation, state) of this node and all members that are not dead.
  std::uint64_t hash() const { return hash_; }
  std::size_t dead_count() const { return dead_count_; }
  // Alive or suspect nodes, this one included; at least 1.
  std::size_t LiveCount() const;
  // Rises with every change of who is eligible, or of an eligible member's zone or address.
  std::uint64_t eligibility_version() const { return eligibility_version_; }

  // Sorted by id, this node included; valid until the next non-const call.
  const std::vector<const MemberRecord*>& Eligible() const;

 private:
  ApplyResult Add(Timestamp now, const MemberRecord& statement);
  ApplyResult Replace(Timestamp now, Member& member, const MemberRecord& statement);
  void MergeConfiguration(Member& member, const DocumentVersion& configuration);
  void Count(const MemberRecord& record);
  void Uncount(const MemberRecord& record);
  std::set<ZoneName> ZonesWithStayingMembers() const;

  MemberRecord self_;
  std::map<NodeId, Member> members_;
  std::set<NodeId> platform_leaving_;
  std::uint64_t hash_ = 0;
  std::size_t dead_count_ = 0;
  std::size_t live_count_ = 0;  // Other members that are alive or suspect.
  std::uint64_t eligibility_version_ = 1;
  // Built on demand from the version beside it.
  mutable std::vector<const MemberRecord*> eligible_;
  mutable std::uint64_t eligible_built_at_ = 0;
};

}  // namespace copperlead
