#include "mesh/stop_plan.h"

#include <algorithm>

namespace copperlead::mesh
{

StopPlan::StopPlan (Timestamp signalledAt, Milliseconds grace)
    : start (signalledAt)
    , endsAt (signalledAt + grace - killMargin)
{
}

bool StopPlan::mayStart (Timestamp now, Duration usualRun) const
{
    constexpr Duration minTimeToRun = lastRequestTime - answerMargin;
    const bool isLate = since (now) >= drainNoticeTime;
    const auto run = isLate ? std::max (2 * usualRun, minTimeToRun) : usualRun;
    return now + run <= answerDeadline();
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
