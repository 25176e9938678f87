#include "mesh/source_timing.h"

#include <gtest/gtest.h>

#include "mesh/source_follower.h"

namespace copperlead::mesh::test
{
namespace
{

template <typename Check>
void forAllSettings (const Check& check)
{
    for (int boundMs = 500; boundMs <= 600'000; boundMs += std::max (1, boundMs / 50))
        for (const int heartbeatMs : { 400, 870, 1300, 1500, 2000, 5000, 60'000 })
        {
            SCOPED_TRACE (std::to_string (boundMs) + " / " + std::to_string (heartbeatMs));
            const Milliseconds bound (boundMs), heartbeat (heartbeatMs);
            check (SourceTiming::within (bound, heartbeat), bound, heartbeat);
        }
}

// Guards against a bound that is exceeded by waits that each seem short enough.
TEST (SourceTiming, AllWaitsInTheWayOfAChangeTogetherStayBelowAnyBound)
{
    forAllSettings (
        [] (const SourceTiming& timing, Milliseconds bound, Milliseconds)
        {
            EXPECT_LT (timing.longestDelay(), bound);
            EXPECT_LT (timing.longestDelayWithFailedPull(), bound);
            EXPECT_LT (timing.longestDelayWithoutReader(), bound);
        });
}

// Guards against taking one failed call, or the loss of a reader, for an outage.
TEST (SourceTiming, OneFailureIsShorterThanEntriesNeedToExpire)
{
    forAllSettings (
        [] (const SourceTiming& timing, Milliseconds, Milliseconds heartbeat)
        {
            FollowerSettings follower;
            follower.entryHeartbeat = heartbeat;
            EXPECT_LT (timing.longestSilence(), follower.lapseTime());
        });
}

TEST (SourceTiming, AllWaitsLeaveTimeForACall)
{
    forAllSettings (
        [] (const SourceTiming& timing, Milliseconds, Milliseconds)
        {
            EXPECT_GE (timing.answerTimeout, Milliseconds (100));
            EXPECT_GE (timing.answerTime, Milliseconds (30));
            EXPECT_GE (timing.pullTimeout, timing.pullTime);
            EXPECT_GE (timing.readerTimeout, timing.heartbeatInterval * 2);
            EXPECT_LE (timing.watchWait, timing.watchInterval + timing.answerTimeout);
        });
}

} // namespace
} // namespace copperlead::mesh::test
