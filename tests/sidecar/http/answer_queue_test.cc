#include "sidecar/http/answer_queue.h"

#include <gtest/gtest.h>

namespace copperlead::sidecar
{
namespace
{

Timestamp at (int milliseconds) { return Timestamp{} + Milliseconds (milliseconds); }

class AnswerQueueTest : public ::testing::Test
{
protected:
    AnswerQueueTest()
    {
        for (auto& exchange : exchanges)
        {
            exchange = std::make_shared<Exchange>();
            queue.add (exchange);
        }
    }

    AnswerQueue queue;
    ExchangePointer exchanges[3];
    AnswerQueue::ReadyAnswer ready;
};

TEST_F (AnswerQueueTest, AResponseWaitsForEarlierOnesAndReportsHowLong)
{
    EXPECT_TRUE (queue.answer (at (10), *exchanges[1], Message ("second"), false));
    EXPECT_FALSE (queue.takeReady (at (10), ready));
    EXPECT_TRUE (queue.answer (at (25), *exchanges[0], Message ("first"), false));
    ASSERT_TRUE (queue.takeReady (at (25), ready));
    EXPECT_EQ (ready.message, "first");
    EXPECT_FALSE (ready.outOfOrder);
    ASSERT_TRUE (queue.takeReady (at (25), ready));
    EXPECT_EQ (ready.message, "second");
    EXPECT_TRUE (ready.outOfOrder);
    EXPECT_EQ (ready.timeQueued, Milliseconds (15));
    EXPECT_FALSE (queue.takeReady (at (25), ready));
    EXPECT_EQ (queue.size(), 1U);
}

TEST_F (AnswerQueueTest, OnlyTheFirstResponseToARequestCounts)
{
    EXPECT_TRUE (queue.answer (at (0), *exchanges[0], Message ("one"), true));
    EXPECT_FALSE (queue.answer (at (1), *exchanges[0], Message ("two"), false));
    EXPECT_FALSE (queue.answer (at (1), Exchange(), Message ("whose"), false));
    ASSERT_TRUE (queue.takeReady (at (1), ready));
    EXPECT_EQ (ready.message, "one");
    EXPECT_TRUE (ready.close);
}

TEST_F (AnswerQueueTest, AConnectionErrorFollowsEarlierResponsesAndCloses)
{
    queue.addConnectionError (at (0), Message ("refused"));
    EXPECT_FALSE (queue.isLatest (*exchanges[2]));
    EXPECT_EQ (queue.latest(), nullptr);

    for (const auto& exchange : exchanges)
        EXPECT_TRUE (queue.answer (at (1), *exchange, Message ("ok"), false));

    for (int n = 0; n < 3; ++n)
        ASSERT_TRUE (queue.takeReady (at (1), ready));

    ASSERT_TRUE (queue.takeReady (at (1), ready));
    EXPECT_EQ (ready.message, "refused");
    EXPECT_TRUE (ready.close);
    EXPECT_TRUE (queue.empty());
}

TEST_F (AnswerQueueTest, CountsBytesAndReturnsTheRemainingRequests)
{
    EXPECT_TRUE (queue.isLatest (*exchanges[2]));
    EXPECT_EQ (queue.latest(), exchanges[2].get());
    queue.answer (at (0), *exchanges[1], Message ("12345", Body ("body")), false);
    EXPECT_EQ (queue.messageBytes(), 9U);
    queue.removeLatest();
    EXPECT_EQ (queue.removeAll().size(), 2U);
    EXPECT_TRUE (queue.empty());
}

} // namespace
} // namespace copperlead::sidecar
