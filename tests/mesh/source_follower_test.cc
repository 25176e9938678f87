#include "mesh/source_follower.h"

#include <gtest/gtest.h>

#include <memory>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

SourceEntry entry (const std::string& key, std::uint64_t revision)
{
    return { key, "v", revision, revision, false };
}

SourceAnswer page (std::vector<SourceEntry> entries, std::uint64_t number, bool more = false)
{
    return { SourceReply::entries, std::move (entries), more, revision (number) };
}

SourceAnswer failure (SourceReply reply) { return { reply, {}, false, {} }; }

/** A follower that has listed one entry at revision 7. */
class Following : public ::testing::Test
{
protected:
    Following()
    {
        EXPECT_EQ (follower.poll (at (0))->call, SourceCall::list);
        EXPECT_TRUE (follower.handleAnswer (at (5), page ({ entry ("a", 3) }, 7))->complete);
    }

    SourceFollower follower{ {}, 1 };
};

TEST (SourceFollower, ListsPagesAndWatchesFromTheFirstPagesRevision)
{
    SourceFollower follower ({}, 1);
    EXPECT_TRUE (follower.poll (at (0))->afterKey.empty());
    EXPECT_FALSE (follower.handleAnswer (at (1), page ({ entry ("a", 3) }, 7, true)));
    EXPECT_FALSE (follower.hasListed());
    EXPECT_EQ (follower.poll (at (1))->afterKey, "a");
    const auto update = follower.handleAnswer (at (2), page ({ entry ("b", 9) }, 9));
    ASSERT_TRUE (update);
    EXPECT_TRUE (update->complete);
    EXPECT_EQ (update->entries.size(), 2U);
    const auto watch = follower.poll (at (2));
    EXPECT_EQ (watch->call, SourceCall::watch);
    EXPECT_EQ (watch->afterRevision, 7U); // Changes between the pages are returned again.
}

TEST_F (Following, SendsOneRequestAtATime)
{
    EXPECT_TRUE (follower.poll (at (5)));
    EXPECT_FALSE (follower.poll (at (6)));
    EXPECT_EQ (follower.nextDue(), Timestamp::max());
}

TEST_F (Following, AnEmptyWatchReturnsNoUpdateAndContinuesFromItsRevision)
{
    follower.poll (at (5));
    EXPECT_FALSE (follower.handleAnswer (at (1500), page ({}, 8)));
    EXPECT_EQ (follower.poll (at (1500))->afterRevision, 8U);
    EXPECT_TRUE (follower.canTrustAbsence (at (1500)));
}

TEST_F (Following, LostHistoryListsAgain)
{
    follower.poll (at (5));
    EXPECT_FALSE (follower.handleAnswer (at (10), failure (SourceReply::historyLost)));
    EXPECT_EQ (follower.poll (at (10))->call, SourceCall::list);
}

// Guards against asking for the same changes again and again, which can only become more.
TEST_F (Following, AskedAgainForChangesThatAreTooManyForAnAnswer)
{
    follower.poll (at (5));
    EXPECT_FALSE (follower.handleAnswer (at (10), failure (SourceReply::tooLarge)));
    const auto listing = follower.poll (at (10));
    ASSERT_TRUE (listing);
    EXPECT_EQ (listing->call, SourceCall::list);
    EXPECT_FALSE (listing->mayBeStale);
    EXPECT_TRUE (follower.isSourceReachable (at (10)));
    EXPECT_TRUE (follower.handleAnswer (at (20), page ({ entry ("a", 9) }, 9))->complete);
    EXPECT_EQ (follower.poll (at (20))->afterRevision, 9U);
}

TEST (SourceFollower, AListingThatIsTooLargeIsAFailure)
{
    SourceFollower follower ({}, 1);
    follower.poll (at (0));
    EXPECT_FALSE (follower.handleAnswer (at (5), failure (SourceReply::tooLarge)));
    EXPECT_TRUE (follower.failing());
    EXPECT_GT (follower.nextDue(), at (5));
}

TEST_F (Following, AnUnansweredWatchIsRepeatedSoonFromTheSameRevision)
{
    const auto watch = follower.poll (at (5));
    EXPECT_LE (watch->timeout, Milliseconds (2500));
    follower.handleAnswer (at (2500), failure (SourceReply::failed));
    EXPECT_TRUE (follower.failing());
    const auto again = follower.poll (at (2700));
    ASSERT_TRUE (again);
    EXPECT_EQ (again->afterRevision, 7U);
}

TEST_F (Following, BackoffIsBounded)
{
    auto now = at (5);

    for (int failures = 0; failures < 20; ++failures)
    {
        ASSERT_TRUE (follower.poll (now));
        follower.handleAnswer (now, failure (SourceReply::refused));
        EXPECT_LE (follower.nextDue() - now, Milliseconds (400));
        EXPECT_GT (follower.nextDue(), now);
        now = follower.nextDue();
    }
}

// Guards against taking an instance that leaves for one whose entry expired, because of one failed
// call just before: no entry can expire in so short a time.
TEST_F (Following, TrustsAbsenceAfterAFailureInWhichNoEntryCanExpire)
{
    follower.poll (at (5));
    follower.handleAnswer (at (10), failure (SourceReply::refused));
    EXPECT_FALSE (follower.canTrustAbsence (at (10)));
    follower.poll (at (200));
    const auto update = follower.handleAnswer (at (2499), page ({}, 8));
    EXPECT_FALSE (follower.failing());
    EXPECT_TRUE (follower.canTrustAbsence (at (2499)));
    EXPECT_EQ (update->absence.grace, Milliseconds (0));
    EXPECT_TRUE (update->absence.interrupted);
}

TEST_F (Following, DoesNotTrustAbsenceAfterAnOutageInWhichEntriesCanExpire)
{
    follower.poll (at (5));
    follower.handleAnswer (at (10), failure (SourceReply::failed));
    follower.poll (at (2500));
    const auto update = follower.handleAnswer (at (2510), page ({}, 8));
    EXPECT_EQ (update->absence.grace, Milliseconds (2500));
    EXPECT_FALSE (follower.canTrustAbsence (at (2510)));
    EXPECT_FALSE (follower.canTrustAbsence (at (5000)));
    EXPECT_TRUE (follower.canTrustAbsence (at (5010)));

    // What is missing later gets only what is left of the time for renewals.
    follower.poll (at (4000));
    EXPECT_EQ (follower.handleAnswer (at (4010), page ({ entry ("a", 9) }, 9))->absence.grace,
               Milliseconds (1000));
}

TEST_F (Following, AnOutageDuringTheTimeForRenewalsBeginsItAnew)
{
    follower.poll (at (5));
    follower.handleAnswer (at (3000), failure (SourceReply::failed));
    follower.poll (at (3200));
    follower.handleAnswer (at (3210), page ({}, 8));
    follower.poll (at (3500));
    follower.handleAnswer (at (3600), failure (SourceReply::failed));
    follower.poll (at (4800));
    follower.handleAnswer (at (4810), page ({}, 8));
    EXPECT_FALSE (follower.canTrustAbsence (at (7300)));
    EXPECT_TRUE (follower.canTrustAbsence (at (7310)));
}

TEST_F (Following, AReaderThatTakesOverKnowsHowLongItsZoneHeardNothing)
{
    follower.pause();
    follower.resume (at (9000), revision (8), { at (8500), {} });
    follower.poll (at (9000));
    EXPECT_TRUE (follower.handleAnswer (at (9010), page ({}, 8)));
    EXPECT_TRUE (follower.canTrustAbsence (at (9010)));

    follower.pause();
    follower.resume (at (19'000), revision (8), { at (16'500), {} });
    follower.poll (at (19'000));
    EXPECT_EQ (follower.handleAnswer (at (19'010), page ({}, 8))->absence.grace,
               Milliseconds (2500));

    follower.pause();
    follower.resume (at (30'000), revision (8), { at (29'900), at (31'000) });
    follower.poll (at (30'000));
    EXPECT_EQ (follower.handleAnswer (at (30'010), page ({}, 8))->absence.grace,
               Milliseconds (990));
}

TEST (SourceFollower, ANodeThatStartsInAnOutageDoesNotTrustAbsenceAfterIt)
{
    SourceFollower follower ({}, 1);
    follower.poll (at (0));
    follower.handleAnswer (at (5), failure (SourceReply::refused));
    follower.poll (at (2600));
    follower.handleAnswer (at (2610), page ({ entry ("a", 3) }, 7));
    EXPECT_FALSE (follower.canTrustAbsence (at (2610)));

    SourceFollower undisturbed ({}, 1);
    undisturbed.poll (at (0));
    undisturbed.handleAnswer (at (2610), page ({ entry ("a", 3) }, 7));
    EXPECT_TRUE (undisturbed.canTrustAbsence (at (2610)));
}

TEST_F (Following, ExpeditesOnlyAWatchOfAMinimumAge)
{
    EXPECT_FALSE (follower.expediteWatch (at (5))); // No watch is pending.
    follower.poll (at (5));
    EXPECT_FALSE (follower.expediteWatch (at (100)));
    EXPECT_TRUE (follower.expediteWatch (at (300)));
    EXPECT_EQ (follower.poll (at (300))->afterRevision, 7U);
    EXPECT_FALSE (follower.failing());
}

TEST_F (Following, WatchesThatEndImmediatelyKeepTheMinimumInterval)
{
    EXPECT_TRUE (follower.poll (at (5)));
    EXPECT_TRUE (follower.handleAnswer (at (9), page ({ entry ("a", 8) }, 8)));
    EXPECT_FALSE (follower.poll (at (204)));
    EXPECT_EQ (follower.nextDue(), at (205));
    EXPECT_EQ (follower.poll (at (205))->afterRevision, 8U);
    // A watch that took longer than the interval is followed by the next one immediately.
    follower.handleAnswer (at (700), page ({ entry ("a", 9) }, 9));
    EXPECT_TRUE (follower.poll (at (700)));
}

TEST_F (Following, ALaterVersionElsewhereEndsTheIntervalBetweenWatches)
{
    EXPECT_FALSE (follower.expediteWatch (at (5))) << "the watch is due already";
    EXPECT_TRUE (follower.poll (at (5)));
    EXPECT_TRUE (follower.handleAnswer (at (9), page ({ entry ("a", 8) }, 8)));
    EXPECT_TRUE (follower.expediteWatch (at (20)));
    EXPECT_TRUE (follower.poll (at (20)));
}

TEST_F (Following, PausedItAsksForNothingAndIsNeverDue)
{
    follower.poll (at (5));
    follower.handleAnswer (at (10), failure (SourceReply::refused));
    follower.pause();
    EXPECT_EQ (follower.nextDue(), Timestamp::max());
    EXPECT_FALSE (follower.poll (at (60'000)));
    EXPECT_FALSE (follower.isSourceReachable (at (60'000)));
}

TEST_F (Following, ResumesFromThePositionReachedWithAnImmediateWatch)
{
    follower.pause();
    follower.resume (at (9000), revision (40));
    const auto first = follower.poll (at (9000));
    ASSERT_TRUE (first);
    EXPECT_EQ (first->call, SourceCall::watch);
    EXPECT_EQ (first->afterRevision, 40U);
    EXPECT_EQ (first->wait, Milliseconds (0));
    follower.handleAnswer (at (9010), page ({}, 41));
    EXPECT_TRUE (follower.isSourceReachable (at (9010)));
    const auto next = follower.poll (follower.nextDue());
    ASSERT_TRUE (next);
    EXPECT_GT (next->wait, Milliseconds (0));
}

TEST_F (Following, AfterAFailureTheNextWatchIsAnsweredAtOnceAndTold)
{
    follower.poll (at (5));
    follower.handleAnswer (at (10), failure (SourceReply::refused));
    const auto again = follower.poll (at (1000));
    EXPECT_EQ (again->wait, Milliseconds (0));
    EXPECT_EQ (again->cause, SourceCallCause::retry);
    EXPECT_TRUE (follower.handleAnswer (at (1005), page ({}, 7)));
}

/** A follower of a node that doesn't read, before its first listing. */
class PausedAtStart : public ::testing::Test
{
protected:
    PausedAtStart()
    {
        FollowerSettings settings;
        settings.firstListMayBeStale = true;
        follower = std::make_unique<SourceFollower> (settings, 1);
        follower->pause();
    }

    std::unique_ptr<SourceFollower> follower;
};

TEST_F (PausedAtStart, ListsOnceWithAStaleAnswerAndDoesNotWatch)
{
    const auto list = follower->poll (at (0));
    ASSERT_TRUE (list);
    EXPECT_EQ (list->call, SourceCall::list);
    EXPECT_TRUE (list->mayBeStale);
    EXPECT_TRUE (follower->handleAnswer (at (5), page ({ entry ("a", 3) }, 7))->complete);
    EXPECT_FALSE (follower->poll (at (60'000)));
    EXPECT_EQ (follower->lastSuccess(), Timestamp{})
        << "a stale answer doesn't show that the source is reachable";
}

TEST_F (PausedAtStart, UsesOnlyTheEntryRevisionsOfAStaleListing)
{
    follower->poll (at (0));
    follower->handleAnswer (at (1), page ({ entry ("a", 3), entry ("b", 6) }, 9, true));
    EXPECT_EQ (follower->poll (at (1))->cause, SourceCallCause::page);
    const auto update = follower->handleAnswer (at (2), page ({ entry ("c", 5) }, 9));
    EXPECT_EQ (update->position, revision (5));
    follower->resume (at (10), revision (0));
    EXPECT_EQ (follower->poll (at (10))->afterRevision, 5U);
}

TEST_F (PausedAtStart, AnEmptyStaleListingIsRepeatedLater)
{
    follower->poll (at (0));
    follower->handleAnswer (at (1), page ({}, 9));
    EXPECT_FALSE (follower->hasListed());
    EXPECT_FALSE (follower->poll (at (400)));
    EXPECT_TRUE (follower->poll (at (500))->mayBeStale);
}

TEST_F (Following, ALostHistoryIsNoFailureUntilItsListingIsLate)
{
    follower.poll (at (10));
    follower.handleAnswer (at (1510), page ({}, 9));
    follower.poll (at (1510));
    follower.handleAnswer (at (2000), failure (SourceReply::historyLost));
    EXPECT_TRUE (follower.isSourceReachable (at (2100)));
    EXPECT_FALSE (follower.isSourceReachable (at (1510 + 200 + 1500 + 600 + 1)));
    EXPECT_EQ (follower.poll (at (2000))->call, SourceCall::list);
    follower.handleAnswer (at (2100), failure (SourceReply::refused));
    EXPECT_FALSE (follower.isSourceReachable (at (2101)));
}

TEST_F (PausedAtStart, ListsAgainWithAStaleAnswerAndThenSendsNothing)
{
    follower->poll (at (0));
    follower->refreshListing (at (0)); // This has no effect while the first listing is pending.
    follower->handleAnswer (at (1), page ({ entry ("a", 3) }, 7));
    follower->refreshListing (at (1500));
    const auto look = follower->poll (at (1500));
    ASSERT_TRUE (look);
    EXPECT_EQ (look->cause, SourceCallCause::refresh);
    EXPECT_TRUE (look->mayBeStale);
    const auto update =
        follower->handleAnswer (at (1510), page ({ entry ("a", 3), entry ("b", 9) }, 9));
    ASSERT_TRUE (update);
    EXPECT_EQ (update->position, revision (9));
    EXPECT_FALSE (follower->poll (at (60'000)));
}

TEST_F (PausedAtStart, ARepeatedListingIsDroppedWhenReadingStarts)
{
    follower->poll (at (0));
    follower->handleAnswer (at (1), page ({ entry ("a", 3) }, 7));
    follower->refreshListing (at (1500));
    follower->poll (at (1500));
    EXPECT_TRUE (follower->resume (at (1600), revision (5)));
    const auto watch = follower->poll (at (1600));
    EXPECT_EQ (watch->call, SourceCall::watch);
    EXPECT_EQ (watch->afterRevision, 5U);
}

TEST_F (PausedAtStart, AReaderWithoutAListingRequestsACurrentOne)
{
    follower->poll (at (0));
    follower->handleAnswer (at (1), page ({}, 9));
    follower->resume (at (100), revision (0));
    const auto list = follower->poll (at (100));
    EXPECT_EQ (list->call, SourceCall::list);
    EXPECT_FALSE (list->mayBeStale);
}

TEST_F (PausedAtStart, ListingsAfterALostHistoryAreCurrent)
{
    follower->poll (at (0));
    follower->handleAnswer (at (1), page ({ entry ("a", 3) }, 7));
    follower->resume (at (10), revision (0));
    follower->poll (at (10));
    follower->handleAnswer (at (11), failure (SourceReply::historyLost));
    const auto list = follower->poll (at (11));
    EXPECT_FALSE (list->mayBeStale);
    EXPECT_EQ (list->cause, SourceCallCause::historyLost);
}

TEST_F (PausedAtStart, AnUpdateFromAPeerEndsARefusedListing)
{
    follower->poll (at (0));
    follower->handleAnswer (at (1), failure (SourceReply::refused));
    follower->poll (at (500));
    EXPECT_TRUE (follower->pause (revision (40))) << "the pending request is dropped";
    EXPECT_FALSE (follower->poll (at (60'000)));
    follower->resume (at (60'000), revision (40));
    EXPECT_EQ (follower->poll (at (60'000))->afterRevision, 40U);
}

TEST_F (PausedAtStart, TheRetryIntervalSeparatesCallsToAFailingSource)
{
    follower->setMinRetryInterval (Milliseconds (4000));
    follower->poll (at (0));
    follower->handleAnswer (at (0), failure (SourceReply::refused));
    EXPECT_GE (follower->nextDue(), at (2000));
    EXPECT_LE (follower->nextDue(), at (4000));
}

TEST_F (Following, AWatchIsRestartedFromALaterPositionOfAnotherNode)
{
    EXPECT_EQ (follower.poll (at (10))->afterRevision, 7U);
    EXPECT_FALSE (follower.positionReceived (at (300), revision (7))) << "the position isn't later";
    EXPECT_TRUE (follower.positionReceived (at (300), revision (12)));
    const auto watch = follower.poll (at (300));
    ASSERT_TRUE (watch);
    EXPECT_EQ (watch->afterRevision, 12U);
    EXPECT_FALSE (follower.positionReceived (at (400), revision (13)))
        << "the answer may be in transit";
}

FollowerSettings delayed()
{
    FollowerSettings settings;
    settings.firstListDelay = Milliseconds (500);
    return settings;
}

TEST (DelayedListing, IsSkippedWhenAnotherNodeProvidesTheState)
{
    SourceFollower follower (delayed(), 1);
    follower.pause();
    EXPECT_FALSE (follower.poll (at (0)));
    EXPECT_EQ (follower.nextDue(), at (500));
    EXPECT_FALSE (follower.poll (at (499)));
    follower.pause (revision (7));
    EXPECT_FALSE (follower.poll (at (500))) << "a position was reached by other means";
    EXPECT_EQ (follower.nextDue(), Timestamp::max());
}

TEST (DelayedListing, IsSentWithoutAnUpdateFromAnotherNode)
{
    SourceFollower follower (delayed(), 1);
    follower.pause();
    EXPECT_FALSE (follower.poll (at (0)));
    ASSERT_TRUE (follower.poll (at (500)));
    EXPECT_FALSE (follower.handleAnswer (at (510), failure (SourceReply::failed)));
    EXPECT_TRUE (follower.poll (at (620))) << "only the first call is delayed";
}

TEST (DelayedListing, AReaderDoesNotWait)
{
    SourceFollower follower (delayed(), 1);
    EXPECT_FALSE (follower.poll (at (0)));
    follower.resume (at (10), revision (0));
    EXPECT_TRUE (follower.poll (at (10)));
}

} // namespace
} // namespace copperlead::mesh::test
