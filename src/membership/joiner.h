// Joins the fleet: requests the member lists of some contacts and members, and repeats this with
// backoff and jitter until enough of them have replied. Not thread-safe.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "membership/member_list.h"
#include "membership/random.h"

namespace copperlead {

class Joiner {
 public:
  Joiner(const MembershipSettings& settings, RandomEngine& random)
      : settings_(settings), random_(random) {}

  void AddContacts(const std::vector<SocketAddress>& contacts);
  const std::vector<SocketAddress>& contacts() const { return contacts_; }

  // Starts joining again; replies received earlier no longer count.
  void Start(Timestamp now);
  // Must be called at or after NextDeadline().
  // @return the addresses to send a JoinRequest to now.
  std::vector<SocketAddress> Advance(Timestamp now, const MemberList& members);
  // @return nullopt when no further request is planned.
  std::optional<Timestamp> NextDeadline() const { return next_attempt_; }

  // Records a JoinReply. Several replies from one node count once.
  void RecordReply(const NodeId& sender, const DocumentVersion& remembered,
                   const DocumentVersion& running);
  std::size_t reply_count() const { return replied_.size(); }
  const DocumentVersion& highest_version_received() const { return highest_version_received_; }
  // True from Start() until enough replies have arrived or the attempts are used up.
  bool joining() const { return next_attempt_.has_value(); }

 private:
  std::vector<SocketAddress> Targets(const MemberList& members) const;

  const MembershipSettings& settings_;
  RandomEngine& random_;
  std::vector<SocketAddress> contacts_;
  std::optional<Timestamp> next_attempt_;
  std::size_t attempts_ = 0;
  std::size_t attempts_after_reply_ = 0;
  std::set<NodeId> replied_;
  DocumentVersion highest_version_received_;
};

}  // namespace copperlead
