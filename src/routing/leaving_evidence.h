// The node's own evidence that a back end is leaving, available before the platform's list says so.
#pragma once

#include "base/time.h"
#include "routing/backoff.h"
#include "routing/request_router.h"

namespace copperlead {

enum class RefusalKind { kShedding, kDraining };

// Classifies a refusal. A back end that refuses although it reports free slots, or that closes the
// connection with a refusal and reports no load, is draining. Any other refusal is load shedding,
// which is temporary.
RefusalKind ClassifyRefusal(const AnswerHead& head);

// Evidence about one back end. Not thread-safe.
class LeavingEvidence {
 public:
  void RecordDraining(Timestamp now) { draining_.Trigger(now); }
  void RecordConnectFailed(Timestamp now) { unreachable_.Trigger(now); }
  // Records an answer that is not a refusal. While there is evidence of leaving, only the answer to
  // a probe clears it: requests sent before a drain began are still answered, and a kept connection
  // outlives the listener.
  // @param is_probe true when the request was sent as a probe, on a new connection.
  void RecordAnswer(Timestamp now, bool is_probe);

  // @return true while the back end should get no new requests.
  bool IsLeaving(Timestamp now) const {
    return draining_.IsActive(now) || unreachable_.IsActive(now);
  }

 private:
  Backoff draining_{std::chrono::seconds(5), std::chrono::seconds(20)};
  Backoff unreachable_{std::chrono::seconds(1), std::chrono::seconds(15)};
};

}  // namespace copperlead
