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
    AnswerQueue::Due due;
};

TEST_F (AnswerQueueTest, AnAnswerWaitsForThoseBeforeItAndSaysForHowLong)
{
    EXPECT_TRUE (queue.answer (at (10), *exchanges[1], "second", false));
    EXPECT_FALSE (queue.takeDue (at (10), due));
    EXPECT_TRUE (queue.answer (at (25), *exchanges[0], "first", false));
    ASSERT_TRUE (queue.takeDue (at (25), due));
    EXPECT_EQ (due.message, "first");
    EXPECT_FALSE (due.waited);
    ASSERT_TRUE (queue.takeDue (at (25), due));
    EXPECT_EQ (due.message, "second");
    EXPECT_TRUE (due.waited);
    EXPECT_EQ (due.held, Milliseconds (15));
    EXPECT_FALSE (queue.takeDue (at (25), due));
    EXPECT_EQ (queue.size(), 1U);
}

TEST_F (AnswerQueueTest, OnlyTheFirstAnswerToARequestCounts)
{
    EXPECT_TRUE (queue.answer (at (0), *exchanges[0], "one", true));
    EXPECT_FALSE (queue.answer (at (1), *exchanges[0], "two", false));
    EXPECT_FALSE (queue.answer (at (1), Exchange(), "whose", false));
    ASSERT_TRUE (queue.takeDue (at (1), due));
    EXPECT_EQ (due.message, "one");
    EXPECT_TRUE (due.close);
}

TEST_F (AnswerQueueTest, TheConnectionsOwnRefusalComesInItsTurnAndCloses)
{
    queue.addOwn (at (0), "refused");
    EXPECT_FALSE (queue.isLatest (*exchanges[2]));

    for (const auto& exchange : exchanges)
        EXPECT_TRUE (queue.answer (at (1), *exchange, "ok", false));

    for (int n = 0; n < 3; ++n)
        ASSERT_TRUE (queue.takeDue (at (1), due));

    ASSERT_TRUE (queue.takeDue (at (1), due));
    EXPECT_EQ (due.message, "refused");
    EXPECT_TRUE (due.close);
    EXPECT_TRUE (queue.empty());
}

TEST_F (AnswerQueueTest, CountsBytesAndGivesBackWhatIsLeft)
{
    EXPECT_TRUE (queue.isLatest (*exchanges[2]));
    queue.setLatestBody (70);
    queue.answer (at (0), *exchanges[1], "12345", false);
    EXPECT_EQ (queue.messageBytes(), 5U);
    EXPECT_EQ (queue.bodyBytes(), 70U);
    queue.dropLatest();
    EXPECT_EQ (queue.bodyBytes(), 0U);
    EXPECT_EQ (queue.dropAll().size(), 2U);
    EXPECT_TRUE (queue.empty());
}

} // namespace
} // namespace copperlead::sidecar
