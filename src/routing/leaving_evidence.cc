#include "routing/leaving_evidence.h"

namespace copperlead {

RefusalKind ClassifyRefusal(const AnswerHead& head) {
  if (head.load_in_flight && head.load_slots) {
    return *head.load_in_flight < *head.load_slots ? RefusalKind::kDraining
                                                   : RefusalKind::kShedding;
  }
  return head.closes_connection ? RefusalKind::kDraining : RefusalKind::kShedding;
}

void LeavingEvidence::RecordAnswer(Timestamp now, bool is_probe) {
  if (is_probe || !draining_.IsActive(now)) draining_.Reset();
  if (is_probe || !unreachable_.IsActive(now)) unreachable_.Reset();
}

}  // namespace copperlead
