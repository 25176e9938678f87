// Timers that determine when suspect members are declared dead.
//
// The node whose own probe failed reminds the suspect of the suspicion and declares it dead after
// the timeout. Nodes that only received the suspicion wait longer, in case the first node fails. A
// member that refuted a suspicion recently gets more time, which avoids flapping when its
// connection works only intermittently. Not thread-safe.
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
  // @param timeout time after which the node whose probe failed declares the suspect dead.
  explicit SuspicionTable(Duration timeout) : timeout_(timeout) {}

  // Starts a timer unless one is running. A failed probe of this node (`own_probe`) turns a timer
  // that was started by a received suspicion into one of its own, whose deadline is never later.
  void Start(Timestamp now, const NodeId& id, bool own_probe);
  // Removes the timer. Called when the member has refuted, left, died or been forgotten.
  void Stop(const NodeId& id);
  // Records that the member refuted a suspicion or a report of its death.
  void RecordRefutation(Timestamp now, const NodeId& id);
  // Restarts all timers as if their suspicions had been received from other nodes, because after a
  // pause earlier measurements no longer count.
  void RestartAll(Timestamp now);

  // Removes the expired timers.
  // @return the suspects whose timers have expired.
  std::vector<NodeId> TakeExpired(Timestamp now);
  // Returns each suspect once, half-way through the timeout.
  // @return the suspects that are to be reminded now.
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
