// The node's own evidence that a back end leaves, which comes before the platform's list does.
#pragma once

#include "base/time.h"
#include "routing/backoff.h"
#include "routing/request_router.h"

namespace copperlead {

enum class RefusalKind { kShedding, kDraining };

// A back end that refuses although it has free slots, or that closes the connection with a refusal
// and reports no load, drains. One that reports all slots taken sheds load: a passing state.
RefusalKind ClassifyRefusal(const AnswerHead& head);

// What one back end did. Not thread-safe.
class LeavingEvidence {
 public:
  void RecordDraining(Timestamp now) { draining_.Strike(now); }
  void RecordConnectFailed(Timestamp now) { unreachable_.Strike(now); }
  // An answer that is no refusal. While a suspicion runs it proves nothing: requests sent before a
  // drain began go on to be answered, and a kept connection outlives its listener.
  // @param tried_anew the request was sent, on a new connection, in spite of the suspicion.
  void RecordAnswer(Timestamp now, bool tried_anew);

  // Nothing new goes to it.
  bool Leaving(Timestamp now) const { return draining_.Running(now) || unreachable_.Running(now); }

 private:
  Backoff draining_{std::chrono::seconds(5), std::chrono::seconds(20)};
  Backoff unreachable_{std::chrono::seconds(1), std::chrono::seconds(15)};
};

}  // namespace copperlead
