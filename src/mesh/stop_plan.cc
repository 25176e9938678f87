#include "mesh/stop_plan.h"

#include <algorithm>

namespace copperlead::mesh
{

StopPlan::StopPlan (Timestamp signalledAt, Milliseconds grace)
    : start (signalledAt)
    , endsAt (signalledAt + grace - killMargin)
{
}

bool StopPlan::mayStart (Timestamp now, Duration usualRun, Timestamp answerDeadline)
{
    constexpr Duration minTimeToRun = lastRequestTime - answerMargin;
    return now + std::max (2 * usualRun, minTimeToRun) <= answerDeadline;
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
