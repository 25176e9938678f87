#include "mesh/link_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "mesh/milliseconds.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr double bytesPerMs = 1250; // This is 10 Mbit/s.

TEST (LinkSchedule, WritesPiecesNoFasterThanTheLink)
{
    LinkSchedule schedule (bytesPerMs);
    const auto id = schedule.add (at (0), 100'000);
    const auto piece = schedule.allowance (at (0), id);
    EXPECT_NEAR (static_cast<double> (piece), 0.95 * bytesPerMs * 10, 100);
    schedule.wrote (at (0), id, piece);
    EXPECT_EQ (schedule.allowance (at (9), id), 0U);
    EXPECT_EQ (schedule.nextDue(), at (10));
    EXPECT_GT (schedule.allowance (at (10), id), 0U);
}

TEST (LinkSchedule, ShortAnswersGoFirst)
{
    LinkSchedule schedule (bytesPerMs);
    const auto large = schedule.add (at (0), 400'000), small = schedule.add (at (1), 40'000);
    EXPECT_EQ (schedule.next (at (1)), small);
    EXPECT_EQ (schedule.allowance (at (1), large), 0U);
    schedule.remove (small);
    EXPECT_EQ (schedule.next (at (1)), large);
}

TEST (LinkSchedule, ALongAnswerIsNotStarved)
{
    LinkSchedule schedule (bytesPerMs);
    const auto large = schedule.add (at (0), 400'000);
    schedule.add (at (3000), 40'000);
    EXPECT_EQ (schedule.next (at (3000)), large);
}

TEST (LinkSchedule, AStalledReceiverDoesNotBlockOthers)
{
    LinkSchedule schedule (bytesPerMs);
    const auto first = schedule.add (at (0), 50'000), second = schedule.add (at (1), 50'000);
    schedule.setStalled (first, true);
    EXPECT_EQ (schedule.next (at (1)), second);
    schedule.setStalled (first, false);
    EXPECT_EQ (schedule.next (at (1)), first);
    schedule.setStalled (first, true);
    schedule.setStalled (second, true);
    EXPECT_EQ (schedule.nextDue(), Timestamp::max());
}

TEST (LinkSchedule, SmallAnswersOccupyTheLinkToo)
{
    LinkSchedule schedule (bytesPerMs);
    const auto id = schedule.add (at (0), 50'000);
    schedule.wrote (at (0), 9500);
    EXPECT_EQ (schedule.allowance (at (7), id), 0U);
    EXPECT_GT (schedule.allowance (at (8), id), 0U);
}

TEST (LinkSchedule, ForecastsTheTransmissionOfAnotherAnswer)
{
    LinkSchedule schedule (bytesPerMs);
    EXPECT_NEAR (schedule.expectedMs (at (0), 118'750), 100, 1);
    schedule.add (at (0), 118'750);
    EXPECT_NEAR (schedule.expectedMs (at (0), 118'750), 200, 1);
    EXPECT_NEAR (schedule.expectedMs (at (0), 11'875), 10, 1) << "it overtakes the long one";
}

/** The delays in a simulation of the link. */
struct SimulationResult
{
    double meanMs = 0;      /**< Mean time until a large answer is transmitted. */
    double worstWaitMs = 0; /**< Longest time that a small message can wait in the link's queue. */
};

/** Simulates 13 answers of 80 KB per second over a link of 10 Mbit/s, at 0.85 of its capacity, for
    20 seconds.
    @param scheduled  false: answers are written at once, as they come
*/
SimulationResult simulate (bool scheduled)
{
    struct Answer
    {
        LinkSchedule::Id id;
        Timestamp startedAt;
        double left;
    };

    LinkSchedule schedule (bytesPerMs);
    std::mt19937_64 random (3);
    std::bernoulli_distribution comes (0.013);
    std::vector<Answer> open;
    SimulationResult result;
    double queued = 0, doneMs = 0;
    int done = 0;

    for (int ms = 0; ms < 20'000; ++ms)
    {
        if (comes (random))
            open.push_back ({ schedule.add (at (ms), 80'000), at (ms), 80'000 });

        for (auto& answer : open)
        {
            const auto allowed = scheduled ? schedule.allowance (at (ms), answer.id) : answer.left;
            const auto bytes = std::min (answer.left, static_cast<double> (allowed));
            answer.left -= bytes;
            queued += bytes;
            schedule.wrote (at (ms), answer.id, static_cast<std::size_t> (bytes));
        }

        result.worstWaitMs = std::max (result.worstWaitMs, queued / bytesPerMs);
        std::erase_if (open,
                       [&] (const Answer& answer)
                       {
                           if (answer.left > 0)
                               return false;

                           schedule.remove (answer.id);
                           doneMs +=
                               toMilliseconds (at (ms) - answer.startedAt) + queued / bytesPerMs;
                           ++done;
                           return true;
                       });
        queued = std::max (queued - bytesPerMs, 0.0);
    }

    result.meanMs = doneMs / done;
    return result;
}

TEST (LinkSchedule, SmallMessagesWaitOnlyBrieflyBehindLargeAnswers)
{
    const auto unscheduled = simulate (false), scheduled = simulate (true);
    EXPECT_GT (unscheduled.worstWaitMs, 300);
    EXPECT_LT (scheduled.worstWaitMs, 12);
    EXPECT_LT (scheduled.meanMs, 3 * unscheduled.meanMs);
}

} // namespace
} // namespace copperlead::mesh::test
