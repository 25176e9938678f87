// Timers of members that did not answer a probe: who is to be declared dead, and when.
//
// The node whose own probe failed reminds the suspect of its suspicion and declares it dead after
// the timeout; nodes that only heard of the suspicion wait longer, for the case that the first one
// dies. A member that refuted lately gets more time (damps a path that works now and then).
// Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "membership/member.h"

namespace copperlead {

class SuspicionTable {
 public:
  // @param timeout until the node whose probe failed declares the suspect dead.
  explicit SuspicionTable(Duration timeout) : timeout_(timeout) {}

  // Starts a timer unless one runs. A failed probe of this node's own turns a timer that was
  // started by hearsay into one of its own, which never ends later.
  void Start(Timestamp now, const NodeId& id, bool own_probe);
  // Ends the timer: the member refuted, left, died or was forgotten.
  void Stop(const NodeId& id);
  // Notes that the member refuted a suspicion or its death.
  void NoteRefutation(Timestamp now, const NodeId& id);
  // Starts all timers anew, as hearsay: after a pause nothing measured before counts.
  void RestartAll(Timestamp now);

  // @return suspects whose time is over; their timers end.
  std::vector<NodeId> TakeExpired(Timestamp now);
  // @return suspects that are due to be reminded; each once, half-way through its timeout.
  std::vector<NodeId> TakeReminders(Timestamp now);
  std::optional<Timestamp> NextDeadline() const;

 private:
  struct Timer {
    Timestamp deadline{};
    std::optional<Timestamp> reminder;
    bool own_probe = false;
  };
  struct RefutationHistory {
    std::size_t count = 0;
    Timestamp last{};
  };

  Duration TimeoutFor(Timestamp now, const NodeId& id);

  Duration timeout_;
  std::map<NodeId, Timer> timers_;
  std::map<NodeId, RefutationHistory> refutations_;
};

}  // namespace copperlead
