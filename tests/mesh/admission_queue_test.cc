#include "mesh/admission_queue.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

using Ids = std::vector<std::uint64_t>;

/** A request with an estimated run time of 50 ms. */
AdmissionRequest request (std::uint64_t id, int priority, std::int64_t target,
                          std::int64_t deadline)
{
    return { id, "lookup", priority, at (target), at (deadline), 50 };
}

/** Starts `count` requests with distant targets and ids from 1. They are the least urgent, so that
    their arrival rate does not affect the forecast for others.
*/
void fill (AdmissionQueue& queue, std::uint64_t count)
{
    constexpr int leastUrgent = 9;

    for (std::uint64_t id = 1; id <= count; ++id)
        EXPECT_EQ (queue.offer (at (0), request (id, leastUrgent, 10'000, 20'000)),
                   AdmissionDecision::run);
}

/** Ends the running request `id` after 50 ms. */
void finishRun (AdmissionQueue& queue, std::uint64_t id) { queue.finished (id, 50); }

TEST (AdmissionQueue, RunsUpToItsLimitAndQueuesTheRest)
{
    AdmissionQueue queue;
    queue.setLimit (2);
    fill (queue, 2);
    EXPECT_EQ (queue.offer (at (0), request (3, 0, 200, 500)), AdmissionDecision::wait);
    EXPECT_EQ (queue.next (at (0)), 0U);
    finishRun (queue, 1);
    EXPECT_EQ (queue.next (at (50)), 3U);
    EXPECT_EQ (queue.running(), 2U);
    EXPECT_EQ (queue.waiting(), 0U);
}

TEST (AdmissionQueue, AForecastMatchesTheOfferAndAcceptsNothing)
{
    AdmissionQueue queue;
    queue.setLimit (2);
    fill (queue, 1);
    auto forecast = queue.forecast (at (0), request (9, 0, 200, 500));
    EXPECT_EQ (forecast.decision, AdmissionDecision::run);
    EXPECT_EQ (forecast.expectedMs, 50);
    EXPECT_EQ (queue.running(), 1U);

    queue.offer (at (0), request (2, 0, 10'000, 20'000));
    finishRun (queue, 1);
    queue.offer (at (0), request (3, 0, 10'000, 20'000));
    forecast = queue.forecast (at (0), request (9, 0, 200, 500));
    EXPECT_EQ (forecast.decision, AdmissionDecision::wait);
    EXPECT_EQ (forecast.expectedMs, 75) << "half a run until a slot of two is free, and the run";
    EXPECT_EQ (queue.waiting(), 0U);
    EXPECT_EQ (queue.offer (at (0), request (9, 0, 200, 500)), AdmissionDecision::wait);

    forecast = queue.forecast (at (0), request (10, 0, 20, 20));
    EXPECT_EQ (forecast.decision, AdmissionDecision::refuse);
    EXPECT_EQ (queue.offer (at (0), request (10, 0, 20, 20)), AdmissionDecision::refuse);
}

/** Guards against an instance getting no requests for 20 s after one slow run: it was not chosen
    while others were free, so no further run corrected its estimate.
*/
TEST (AdmissionQueue, TheEstimateOfASlowRunDecaysWithoutFurtherRuns)
{
    AdmissionQueue queue;
    queue.setLimit (2);
    fill (queue, 1);
    queue.finished (1, 500);
    EXPECT_EQ (queue.forecast (at (0), request (9, 0, 2000, 5000)).expectedMs, 500);
    EXPECT_LT (queue.forecast (at (15'000), request (9, 0, 17'000, 20'000)).expectedMs, 60);

    queue.offer (at (15'000), request (2, 0, 17'000, 20'000));
    queue.finished (2, 50);
    EXPECT_LT (queue.forecast (at (15'050), request (9, 0, 17'000, 20'000)).expectedMs, 60)
        << "the next run does not restore the decayed part";
}

TEST (AdmissionQueue, TheEstimateOfAConstantlySlowInstanceStaysHigh)
{
    AdmissionQueue queue;
    queue.setLimit (2);

    for (std::uint64_t id = 1; id <= 50; ++id)
    {
        const auto now = static_cast<std::int64_t> (id) * 200;
        queue.offer (at (now), request (id, 0, now + 2000, now + 5000));
        queue.finished (id, 500);
    }

    EXPECT_GT (queue.forecast (at (10'200), request (99, 0, 12'000, 15'000)).expectedMs, 250);
}

TEST (AdmissionQueue, TheMostUrgentGoesFirstThenTheEarliestTarget)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    queue.offer (at (0), request (2, 2, 300, 900));
    queue.offer (at (0), request (3, 2, 200, 900));
    queue.offer (at (0), request (4, 1, 900, 900));
    Ids startOrder;

    for (std::uint64_t running = 1; running != 0;)
    {
        finishRun (queue, running);
        running = queue.next (at (10));

        if (running != 0)
            startOrder.push_back (running);
    }

    EXPECT_EQ (startOrder, (Ids{ 4, 3, 2 }));
}

TEST (AdmissionQueue, WhatMissedItsTargetWaitsBehindWhatCanMeetIt)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    queue.offer (at (0), request (2, 1, 100, 2000));
    queue.offer (at (0), request (3, 1, 600, 2000));
    finishRun (queue, 1);
    // At 200 ms the target of request 2 has passed, although it arrived first and is due first.
    EXPECT_EQ (queue.next (at (200)), 3U);
    finishRun (queue, 3);
    EXPECT_EQ (queue.next (at (250)), 2U);
}

TEST (AdmissionQueue, ALateUrgentRequestStillGoesBeforeALessUrgentOne)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    queue.offer (at (0), request (2, 1, 100, 2000));
    queue.offer (at (0), request (3, 2, 600, 2000));
    finishRun (queue, 1);
    EXPECT_EQ (queue.next (at (200)), 2U);
}

TEST (AdmissionQueue, RefusesAtOnceARequestThatCannotFinishInTime)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    finishRun (queue, 1); // The learned run time is 50 ms.
    fill (queue, 1);

    for (std::uint64_t id = 2; id <= 6; ++id)
        EXPECT_EQ (queue.offer (at (0), request (id, 1, 1000, 1000)), AdmissionDecision::wait);

    // Five requests wait ahead of a late one: 300 ms until its start, and at least 35 ms of run.
    EXPECT_EQ (queue.offer (at (0), request (7, 1, -1, 320)), AdmissionDecision::refuse);
    EXPECT_EQ (queue.offer (at (0), request (8, 1, -1, 340)), AdmissionDecision::wait);
    // A more urgent request doesn't wait behind them.
    EXPECT_EQ (queue.offer (at (0), request (9, 0, 100, 120)), AdmissionDecision::wait);
}

TEST (AdmissionQueue, ExpiresRequestsThatCanNoLongerFinish)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    queue.offer (at (0), request (2, 1, 100, 200));
    queue.offer (at (0), request (3, 1, 100, 900));
    EXPECT_EQ (queue.nextExpiry(), at (35)); // A run of 65 ms would miss the target of 100.
    EXPECT_TRUE (queue.expire (at (36)).empty());
    EXPECT_EQ (queue.waitingLate(), 2U);
    EXPECT_EQ (queue.nextExpiry(), at (165)); // The deadline of 200 less 0.7 x 50.
    EXPECT_TRUE (queue.expire (at (165)).empty());
    EXPECT_EQ (queue.expire (at (166)), (Ids{ 2 }));
    EXPECT_EQ (queue.waiting(), 1U);
}

TEST (AdmissionQueue, ARetryIsOrderedByTheTargetOfItsFirstAttempt)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    queue.offer (at (0), request (2, 1, -300, 2000));
    queue.offer (at (0), request (3, 1, -300, 1900)); // A retry after its target.
    queue.offer (at (0), request (4, 1, 500, 2000));
    queue.offer (at (0), request (5, 1, 450, 2000)); // A retry in time, so it is due before 4.
    EXPECT_EQ (queue.waitingLate(), 2U);
    Ids startOrder;

    for (std::uint64_t running = 1; running != 0;)
    {
        queue.finished (running, 0);
        running = queue.next (at (10));

        if (running != 0)
            startOrder.push_back (running);
    }

    EXPECT_EQ (startOrder, (Ids{ 5, 4, 3, 2 }));
    EXPECT_EQ (queue.startedRuns()[static_cast<std::size_t> (Timeliness::inTime)], 3U);
    EXPECT_EQ (queue.startedRuns()[static_cast<std::size_t> (Timeliness::late)], 2U);
}

TEST (AdmissionQueue, ImmediateStartsAreCountedByTimeliness)
{
    AdmissionQueue queue;
    queue.setLimit (2);
    EXPECT_EQ (queue.offer (at (0), request (1, 1, 400, 2000)), AdmissionDecision::run);
    EXPECT_EQ (queue.offer (at (0), request (3, 1, -300, 2000)), AdmissionDecision::run);

    for (const auto count : queue.startedRuns())
        EXPECT_EQ (count, 1U);
}

TEST (AdmissionQueue, TheSpreadOfRunTimesDecidesWhichRequestsAreInTime)
{
    const auto lateAfterRuns = [] (double first, double second)
    {
        AdmissionQueue queue;
        queue.setLimit (1);

        for (int n = 0; n < 40; ++n)
        {
            fill (queue, 1);
            queue.finished (1, n % 2 == 0 ? first : second);
        }

        fill (queue, 1);
        queue.offer (at (0), request (2, 1, 220, 2000));
        return queue.waitingLate() == 1;
    };
    // Both average 100 ms, and a slot becomes free after about that time.
    EXPECT_FALSE (lateAfterRuns (100, 100));
    EXPECT_TRUE (lateAfterRuns (20, 180));
}

TEST (AdmissionQueue, ALateRequestIsRefusedWhileNoSlotsAreFreeForLateOnes)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    EXPECT_EQ (queue.offer (at (0), request (2, 1, -1, 1000)), AdmissionDecision::wait);
    EXPECT_EQ (queue.offer (at (400), request (3, 1, -1, 1000)), AdmissionDecision::refuse);
    EXPECT_EQ (queue.expire (at (966)), (Ids{ 2 }));
    // No late request started for 966 ms, so the next one may wait only after that long.
    EXPECT_EQ (queue.offer (at (965), request (4, 1, -1, 1900)), AdmissionDecision::refuse);
    EXPECT_EQ (queue.offer (at (970), request (5, 1, -1, 1900)), AdmissionDecision::wait);
    EXPECT_EQ (queue.offer (at (980), request (6, 1, -1, 1900)), AdmissionDecision::refuse);
}

TEST (AdmissionQueue, LateRequestsWaitWhileSlotsForThemAreFrequent)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    std::int64_t time = 0;

    for (std::uint64_t id = 2; id < 30; ++id, time += 10)
    {
        EXPECT_EQ (queue.offer (at (time), request (id, 1, -1, 5000)), AdmissionDecision::wait);
        queue.finished (id - 1, 0);
        EXPECT_EQ (queue.next (at (time + 10)), id);
    }

    for (std::uint64_t id = 30; id < 34; ++id)
        EXPECT_EQ (queue.offer (at (time), request (id, 1, -1, 5000)), AdmissionDecision::wait);
}

TEST (AdmissionQueue, CancelFreesASlotOrAQueuePlace)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    queue.offer (at (0), request (2, 1, 100, 900));
    queue.offer (at (0), request (3, 1, 100, 900));
    EXPECT_TRUE (queue.cancel (2));
    EXPECT_FALSE (queue.cancel (1));
    EXPECT_EQ (queue.next (at (0)), 3U);
    queue.finished (1, 50); // The end of a cancelled run has no effect.
    EXPECT_EQ (queue.running(), 1U);
}

TEST (AdmissionQueue, ClearReturnsWaitingRequestsAndKeepsRunningOnes)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    queue.offer (at (0), request (2, 2, 100, 900));
    queue.offer (at (0), request (3, 1, 100, 900));
    EXPECT_EQ (queue.clear(), (Ids{ 3, 2 }));
    EXPECT_EQ (queue.running(), 1U);
    EXPECT_EQ (queue.nextExpiry(), Timestamp::max());
}

TEST (AdmissionQueue, ARequestThatMoreUrgentOnesWillOvertakeIsRefusedAtOnce)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    std::uint64_t id = 0;
    auto now = 0;

    // Urgent runs of 50 ms every 60 ms leave few starts to other requests.
    for (; now < 6000; now += 60)
    {
        EXPECT_EQ (queue.offer (at (now), request (++id, 0, now + 200, now + 500)),
                   AdmissionDecision::run);
        queue.finished (id, 50);
    }

    queue.offer (at (now), request (++id, 0, now + 200, now + 500));
    const auto lessUrgent = request (++id, 1, now + 200, now + 300);
    EXPECT_EQ (queue.offer (at (now), lessUrgent), AdmissionDecision::refuse);
    EXPECT_EQ (queue.offer (at (now), request (++id, 0, now + 200, now + 300)),
               AdmissionDecision::wait);
}

/** A queue with enough slots for all requests, but limited to two starts a second. */
AdmissionQueue coldQueue()
{
    AdmissionQueue queue;
    queue.setLimit (10);
    queue.startWindow().setLimit (2);
    queue.startWindow().enforceUntil (at (10'000));
    fill (queue, 2);
    return queue;
}

TEST (AdmissionQueue, StartsAtAColdInstanceAreLimitedThoughSlotsAreFree)
{
    auto queue = coldQueue();
    EXPECT_EQ (queue.offer (at (0), request (3, 0, 2000, 5000)), AdmissionDecision::wait);
    EXPECT_EQ (queue.next (at (500)), 0U);
    EXPECT_EQ (queue.nextRateLimitedStart (at (500)), at (1010));
    EXPECT_EQ (queue.next (at (1010)), 3U);
    EXPECT_EQ (queue.nextRateLimitedStart (at (1010)), Timestamp::max()) << "nothing waits";
}

TEST (AdmissionQueue, ARequestThatTheStartLimitMakesTooLateIsRefusedAtOnce)
{
    auto queue = coldQueue();
    EXPECT_EQ (queue.forecast (at (0), request (9, 0, 900, 900)).decision,
               AdmissionDecision::refuse);
    EXPECT_EQ (queue.offer (at (0), request (3, 0, 900, 900)), AdmissionDecision::refuse);
    EXPECT_EQ (queue.forecast (at (0), request (9, 0, 2000, 5000)).expectedMs, 1060)
        << "until the next start, and the run";
}

TEST (AdmissionQueue, TheMostUrgentRequestThatTheStartLimitDelaysGoesFirst)
{
    auto queue = coldQueue();
    queue.offer (at (0), request (3, 2, 4000, 5000));
    queue.offer (at (0), request (4, 1, 4000, 5000));
    EXPECT_EQ (queue.next (at (1010)), 4U);
}

TEST (AdmissionQueue, TheInstancesOwnLimitDelaysStarts)
{
    AdmissionQueue queue;
    queue.setLimit (10);
    queue.rateLimit().recordAnswer (at (0), 2);
    EXPECT_TRUE (queue.isRateLimited (at (0)));
    EXPECT_EQ (queue.offer (at (0), request (1, 0, 1000, 2000)), AdmissionDecision::wait);
    EXPECT_EQ (queue.next (at (0)), 0U);
    EXPECT_EQ (queue.nextRateLimitedStart (at (0)), at (500));
    EXPECT_EQ (queue.next (at (500)), 1U);
}

TEST (AdmissionQueue, ARequestThatTheInstancesLimitDelaysTooLongIsRefusedAtOnce)
{
    AdmissionQueue queue;
    queue.setLimit (10);
    queue.rateLimit().recordAnswer (at (0), 2);
    EXPECT_EQ (queue.offer (at (0), request (1, 0, 200, 400)), AdmissionDecision::refuse);
    EXPECT_EQ (queue.forecast (at (0), request (1, 0, 200, 400)).decision,
               AdmissionDecision::refuse);
    queue.rateLimit().recordAnswer (at (0), 0);
    EXPECT_EQ (queue.offer (at (0), request (1, 0, 60'000, 120'000)), AdmissionDecision::refuse);
}

/** Guards against requests that are held until their deadline by a limit that fell meanwhile. */
TEST (AdmissionQueue, WaitingRequestsThatALowerLimitKeepsFromRunningAreRefusedAtOnce)
{
    AdmissionQueue queue;
    queue.setLimit (1);
    fill (queue, 1);
    EXPECT_EQ (queue.offer (at (0), request (2, 0, 500, 600)), AdmissionDecision::wait);
    EXPECT_EQ (queue.offer (at (0), request (3, 0, 900, 1000)), AdmissionDecision::wait);
    queue.rateLimit().recordAnswer (at (10), 1.25);
    queue.reassess (at (10));
    EXPECT_EQ (queue.expire (at (10)), Ids{ 2 });
    EXPECT_EQ (queue.waiting(), 1U);
    finishRun (queue, 1);
    EXPECT_EQ (queue.next (at (811)), 3U);
}

TEST (AdmissionQueue, ARequestThatWasSelectedButNotSentLeavesItsTokenToTheNext)
{
    AdmissionQueue queue;
    queue.setLimit (10);
    queue.rateLimit().recordAnswer (at (0), 1);
    EXPECT_EQ (queue.offer (at (1000), request (1, 0, 2000, 3000)), AdmissionDecision::run);
    queue.cancelStart (1);
    EXPECT_EQ (queue.running(), 0U);
    EXPECT_EQ (queue.offer (at (1000), request (2, 0, 2000, 3000)), AdmissionDecision::run);
}

} // namespace
} // namespace copperlead::mesh::test
