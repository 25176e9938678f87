// Tests of reading a source that was restored from a backup, which reuses revisions in a later
// epoch.
#include <gtest/gtest.h>

#include "mesh/reader_role.h"
#include "mesh/source_follower.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

SourceAnswer answer (SourceReply reply, SourcePosition position, bool more = false)
{
    return { reply, { { "a", "v", position.revision, 1, false } }, more, position };
}

/** A follower that watches from revision 20 of epoch 1. */
class RestoredSourceFollower : public ::testing::Test
{
protected:
    RestoredSourceFollower()
    {
        follower.poll (at (0));
        follower.handleAnswer (at (1), answer (SourceReply::entries, { 1, 20 }));
        follower.poll (at (1));
    }

    /** Polls for up to a second. @returns the first request; std::nullopt if none is due */
    std::optional<SourceRequest> pollWithin (std::int64_t now)
    {
        for (auto until = now + 1000; now <= until; now += 10)
            if (auto request = follower.poll (at (now)))
            {
                polledAt = now;
                return request;
            }

        return std::nullopt;
    }

    SourceFollower follower{ {}, 1 };
    std::int64_t polledAt = 0;
};

TEST_F (RestoredSourceFollower, ListsOnceAndContinuesFromTheLowerRevision)
{
    follower.handleAnswer (at (100), answer (SourceReply::historyLost, { 2, 0 }));
    EXPECT_EQ (pollWithin (100)->call, SourceCall::list);
    EXPECT_LE (polledAt, 400);
    const auto update =
        follower.handleAnswer (at (polledAt), answer (SourceReply::entries, { 2, 15 }));
    ASSERT_TRUE (update);
    EXPECT_TRUE (update->complete);
    EXPECT_EQ (update->position, (SourcePosition{ 2, 15 }));
    const auto watch = pollWithin (polledAt);
    EXPECT_EQ (watch->call, SourceCall::watch);
    EXPECT_EQ (watch->afterRevision, 15U);
}

TEST_F (RestoredSourceFollower, ListsWhenItsRevisionWasReused)
{
    EXPECT_FALSE (follower.handleAnswer (at (100), answer (SourceReply::entries, { 2, 25 })));
    EXPECT_EQ (pollWithin (100)->call, SourceCall::list);
}

TEST_F (RestoredSourceFollower, DetectsARestoreByARefusedCall)
{
    follower.handleAnswer (at (100), answer (SourceReply::refused, { 2, 0 }));
    EXPECT_TRUE (pollWithin (100));
    EXPECT_FALSE (follower.handleAnswer (at (polledAt), answer (SourceReply::entries, { 2, 21 })));
    EXPECT_EQ (pollWithin (polledAt)->call, SourceCall::list);
}

TEST_F (RestoredSourceFollower, DoesNotTrustAbsenceRightAfterARestore)
{
    EXPECT_TRUE (follower.canTrustAbsence (at (99)));
    follower.handleAnswer (at (100), answer (SourceReply::historyLost, { 2, 0 }));
    EXPECT_FALSE (follower.canTrustAbsence (at (2000)));
    EXPECT_TRUE (follower.canTrustAbsence (at (2700)));
}

TEST_F (RestoredSourceFollower, IgnoresAnAnswerOfAnEarlierEpoch)
{
    follower.positionReceived (at (10), { 2, 15 });

    for (const auto reply : { SourceReply::entries, SourceReply::historyLost })
    {
        EXPECT_FALSE (follower.handleAnswer (at (100), answer (reply, { 1, 30 })));
        const auto watch = pollWithin (100);
        EXPECT_EQ (watch->call, SourceCall::watch);
        EXPECT_EQ (watch->afterRevision, 15U);
    }
}

TEST_F (RestoredSourceFollower, IgnoresAWatchThatStartedInAnEarlierEpoch)
{
    follower.positionReceived (at (10), { 2, 15 });
    EXPECT_FALSE (follower.handleAnswer (at (100), answer (SourceReply::entries, { 2, 25 })));
    EXPECT_EQ (pollWithin (100)->afterRevision, 15U);
}

TEST_F (RestoredSourceFollower, DiscardsAListingWithPagesOfTwoEpochs)
{
    follower.handleAnswer (at (100), answer (SourceReply::historyLost, { 1, 0 }));
    follower.poll (at (100));
    EXPECT_FALSE (follower.handleAnswer (at (101), answer (SourceReply::entries, { 1, 21 }, true)));
    follower.poll (at (101));
    EXPECT_FALSE (follower.handleAnswer (at (102), answer (SourceReply::entries, { 2, 15 })));
    const auto list = pollWithin (102);
    EXPECT_EQ (list->call, SourceCall::list);
    EXPECT_TRUE (list->afterKey.empty());
}

TEST_F (RestoredSourceFollower, ListsWhenResumedFromAnEarlierEpoch)
{
    follower.handleAnswer (at (100), answer (SourceReply::historyLost, { 2, 0 }));
    follower.pause ({ 1, 20 });
    EXPECT_FALSE (pollWithin (200));
    follower.resume (at (2000), { 1, 20 });
    EXPECT_EQ (pollWithin (2000)->call, SourceCall::list);
}

TEST_F (RestoredSourceFollower, BacksOffIfTheSourceRejectsEachPositionItReports)
{
    int calls = 0;
    std::int64_t now = 100;
    follower.handleAnswer (at (now), answer (SourceReply::historyLost, { 1, 0 }));

    for (; now < 5000; now += 5)
        if (const auto request = follower.poll (at (now)))
        {
            ++calls;
            const auto reply = request->call == SourceCall::watch ? SourceReply::historyLost
                                                                  : SourceReply::entries;
            follower.handleAnswer (at (now), answer (reply, { 1, 10 }));
        }

    EXPECT_LE (calls, 40);
}

TEST (RestoredSourceRole, AReaderOfAnEarlierEpochIsNotAhead)
{
    ReaderRole role ("own", { maxMachineStrength, 5 }, {}, 1);
    role.positionReached (at (0), { 2, 16 }, 3);
    role.heartbeatReceived (at (0),
                            { "other", "z", { maxMachineStrength, 1 }, { 1, 500 }, 3, true });
    EXPECT_FALSE (role.behind());
    role.heartbeatReceived (at (1),
                            { "other", "z", { maxMachineStrength, 1 }, { 2, 17 }, 3, true });
    EXPECT_TRUE (role.behind());
}

} // namespace
} // namespace copperlead::mesh::test
