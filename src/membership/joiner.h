// Joining the fleet: asks some contacts and members for their lists, again with backoff and jitter
// until enough have answered. Not thread-safe.
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

  // Begins anew; answers heard before count no longer.
  void Start(Timestamp now);
  // @return addresses to send a JoinRequest to now; call at or after NextDeadline().
  std::vector<SocketAddress> Advance(Timestamp now, const MemberList& members);
  // @return none when nothing more is to be asked.
  std::optional<Timestamp> NextDeadline() const { return next_attempt_; }

  // Takes a JoinReply. Answers from nodes that answered before count once.
  void TakeAnswer(const NodeId& sender, const DocumentVersion& remembered,
                  const DocumentVersion& running);
  std::size_t answers() const { return answered_.size(); }
  const DocumentVersion& highest_heard() const { return highest_heard_; }
  // True between Start() and enough answers.
  bool joining() const { return next_attempt_.has_value(); }

 private:
  std::vector<SocketAddress> Targets(const MemberList& members) const;

  const MembershipSettings& settings_;
  RandomEngine& random_;
  std::vector<SocketAddress> contacts_;
  std::optional<Timestamp> next_attempt_;
  std::size_t attempts_ = 0;
  std::size_t attempts_after_answer_ = 0;
  std::set<NodeId> answered_;
  DocumentVersion highest_heard_;
};

}  // namespace copperlead
