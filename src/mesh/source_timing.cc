#include "mesh/source_timing.h"

#include <algorithm>

#include "mesh/source_follower.h"

namespace copperlead::mesh
{
namespace
{

Milliseconds share (Milliseconds of, double fraction)
{
    return Milliseconds (static_cast<std::int64_t> (fraction * static_cast<double> (of.count())));
}

/** The bound, or less where entries expire so soon that a single failed call would count as an
    outage.
*/
Milliseconds effectiveBound (Milliseconds bound, Milliseconds entryHeartbeat)
{
    FollowerSettings settings;
    settings.entryHeartbeat = entryHeartbeat;
    return std::min (bound, share (settings.lapseTime(), 0.8));
}

} // namespace

SourceTiming SourceTiming::within (Milliseconds bound, Milliseconds entryHeartbeat)
{
    const auto whole = effectiveBound (bound, entryHeartbeat);

    // Longer waits save no calls that matter; shorter ones than these shares leave no time for the
    // source to answer.
    const auto part = [whole] (double fraction, int longestMs)
    { return std::min (share (whole, fraction), Milliseconds (longestMs)); };

    SourceTiming timing;
    timing.watchInterval = part (0.25, 1000);
    timing.watchWait = part (0.175, 1500);
    timing.answerTimeout = part (0.225, 600);
    timing.retryDelay = part (0.03, 100);
    timing.answerTime = part (0.06, 200);
    timing.announcementDelay = part (0.06, 500);
    timing.repetitionDelay = part (0.06, 125);
    timing.pullTime = part (0.06, 200);
    timing.pullTimeout = part (0.25, 500);
    timing.heartbeatInterval = part (0.125, 250);
    timing.readerTimeout = part (0.35, 700);
    timing.readerTimeoutSpread = part (0.15, 300);
    return timing;
}

Milliseconds SourceTiming::longestDelay() const
{
    return watchInterval + watchWait + answerTimeout + retryDelay + answerTime + announcementDelay +
           repetitionDelay + pullTime;
}

Milliseconds SourceTiming::longestDelayWithFailedPull() const
{
    return watchInterval + answerTime + announcementDelay + repetitionDelay + pullTimeout +
           heartbeatInterval + pullTime;
}

Milliseconds SourceTiming::longestDelayWithoutReader() const
{
    return heartbeatInterval + readerTimeout + readerTimeoutSpread + answerTime +
           announcementDelay + repetitionDelay + pullTime;
}

Milliseconds SourceTiming::longestSilence() const
{
    const auto oneFailedCall = watchInterval + watchWait + answerTimeout + retryDelay + answerTime;
    const auto readerEnded = watchInterval + watchWait + heartbeatInterval + readerTimeout +
                             readerTimeoutSpread + answerTime;
    return std::max (oneFailedCall, readerEnded);
}

} // namespace copperlead::mesh
