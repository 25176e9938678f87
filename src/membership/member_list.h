// The members that one node knows, and the rule by which one statement about a member replaces
// another.
//
// Statements about one node are ordered by incarnation, then dead > leaving > suspect > alive. The
// configuration in a record is not part of that order: it is a lower bound, merged by maximum.
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

// True when `statement` replaces `held`, which is about the same node. An equal statement does not.
bool Outranks(const MemberRecord& statement, const MemberRecord& held);

// What a statement did to the list.
enum class ApplyResult : std::uint8_t {
  kUnchanged,  // Already known or outranked; its configuration may still have been merged.
  kChanged,    // Replaced the record of a known member.
  kRevived,    // Replaced the record of a dead member by one that is not dead.
  kAdded,      // Added a member that was not known before.
};

class MemberList {
 public:
  explicit MemberList(MemberRecord self);

  const MemberRecord& self() const { return self_; }
  // Replaces the state and incarnation of this node. The incarnation must not decrease.
  void SetSelf(MemberState state, std::uint32_t incarnation);
  // Sets this node's configuration unless `configuration` is older than the current one.
  void SetSelfConfiguration(const DocumentVersion& configuration);

  const std::map<NodeId, Member>& members() const { return members_; }
  // @return the member, or null if it is not known. This node is never found.
  const Member* Find(const NodeId& id) const;

  // Applies a statement about another node, whatever its source.
  ApplyResult Apply(Timestamp now, const MemberRecord& statement);
  // Applies what a node reports about itself. Also records the time of contact, unless the summary
  // is of an earlier incarnation than the one known.
  ApplyResult ApplySummary(Timestamp now, const NodeSummary& summary);
  // Adds a dead member learned from another node's list. It is left out of the lists that this node
  // sends, so that the fleet forgets it sooner.
  void AddDeadFromOtherList(Timestamp now, const MemberRecord& record);
  // Sets a member back to alive at its present incarnation. This is allowed only for verdicts that
  // this node has never gossiped.
  void RestoreAlive(Timestamp now, const NodeId& id);
  // Marks or unmarks a member that the platform lists as leaving. Such a member is not eligible
  // while its zone has a live one that is not leaving.
  void SetPlatformLeaving(const NodeId& id, bool leaving);
  // Removes members that have been dead for at least `age`.
  // @return the ids of the removed members.
  std::vector<NodeId> ForgetDead(Timestamp now, Duration age);

  // Hash over (id, incarnation, state) of this node and all members that are not dead.
  std::uint64_t hash() const { return hash_; }
  std::size_t dead_count() const { return dead_count_; }
  // Number of nodes that are alive or suspect, including this one; at least 1.
  std::size_t LiveCount() const;
  // Increases when a member becomes or ceases to be eligible, and when the zone or address of an
  // eligible member changes.
  std::uint64_t eligibility_version() const { return eligibility_version_; }

  // The eligible nodes sorted by id, including this node if it is eligible. Valid until the next
  // non-const call.
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
  std::size_t live_count_ = 0;  // Number of other members that are alive or suspect.
  std::uint64_t eligibility_version_ = 1;
  // Built on demand; eligible_built_at_ is the eligibility_version_ of the last build.
  mutable std::vector<const MemberRecord*> eligible_;
  mutable std::uint64_t eligible_built_at_ = 0;
};

}  // namespace copperlead
