#include "mesh/stop_plan.h"

namespace copperlead::mesh
{

StopPlan::StopPlan (Timestamp signalledAt, Milliseconds grace)
    : start (signalledAt)
    , endsAt (signalledAt + grace - killMargin)
{
}

StopStep StopPlan::at (Timestamp now, bool idle) const
{
    StopStep step;
    step.stopListening = since (now) >= drainNoticeTime;
    step.stopAccepting = now >= endsAt - lastRequestTime;
    step.end = now >= endsAt || (step.stopListening && idle);
    return step;
}

} // namespace copperlead::mesh
