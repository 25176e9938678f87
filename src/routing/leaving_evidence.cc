#include "routing/leaving_evidence.h"

namespace copperlead {

RefusalKind ClassifyRefusal(const AnswerHead& head) {
  if (head.load_in_flight && head.load_slots) {
    return *head.load_in_flight < *head.load_slots ? RefusalKind::kDraining
                                                   : RefusalKind::kShedding;
  }
  return head.closes_connection ? RefusalKind::kDraining : RefusalKind::kShedding;
}

void LeavingEvidence::RecordAnswer(Timestamp now, bool tried_anew) {
  if (tried_anew || !draining_.Running(now)) draining_.Clear();
  if (tried_anew || !unreachable_.Running(now)) unreachable_.Clear();
}

}  // namespace copperlead
