#include "mesh/source_continuity.h"

#include <gtest/gtest.h>

#include "mesh/mesh_state.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr Milliseconds grace = InstanceDirectory::lapsedGracePeriod;

AnswerPeriod period (std::int64_t since, std::int64_t until) { return { at (since), at (until) }; }

/** Four instances, with answers of the source from 0 to 10,000 ms. */
class AnsweredNode : public ::testing::Test
{
protected:
    AnsweredNode()
    {
        MeshUpdate listing;
        listing.complete = true;
        listing.position = revision (9);

        for (const char* id : { "a", "b", "c", "d" })
            listing.instances.push_back (
                { makeInstance (id, "z1", 1 + id[0] - 'a'), revision (2), false });

        state.take (at (0), std::move (listing));
        state.answersReported (period (0, 10'000));
    }

    /** @returns a removal as a node passes it on that presumes an outage until `now` */
    static MeshUpdate removal (const std::string& id, std::uint64_t number)
    {
        MeshUpdate update;
        update.position = revision (number);
        InstanceChange change;
        change.instance.id = id;
        change.position = revision (number);
        change.removed = true;
        change.grace = grace;
        update.instances = { change };
        return update;
    }

    /** @returns a removal as this node reads it itself after a silence of its own */
    static MeshUpdate ownRemoval (const std::string& id, std::uint64_t number)
    {
        auto update = removal (id, number);
        update.instances[0].grace.reset();
        update.absence.grace = grace;
        return update;
    }

    std::size_t usable() { return state.directory().countUsable(); }

    MeshState state;
};

// Guards against believing a node that takes its own pause for an outage of the source.
TEST_F (AnsweredNode, KeepsNoInstanceWhoseRemovalAnotherNodeTakesForALapse)
{
    state.take (at (10'100), removal ("a", 10));
    EXPECT_EQ (usable(), 3U);
}

// Guards against trusting answers that don't cover the time in which the entry may have expired.
TEST_F (AnsweredNode, KeepsLapsedInstancesWithoutAnswersInTheTimeBefore)
{
    state.take (at (12'600), removal ("a", 10));
    EXPECT_EQ (usable(), 4U);

    MeshState started;
    started.answersReported (period (0, 10'000));
    started.answersReported (period (14'000, 14'100));
    started.take (at (14'200), removal ("a", 10));
    EXPECT_EQ (started.answerPeriod().since, at (14'000));
}

// Guards against a node that takes its own pause for an outage until the lapse ends, although the
// others tell that the source has answered all the time.
TEST_F (AnsweredNode, EndsALapseOnceAnotherNodeReportsAnswersAllTheTime)
{
    state.sourceAnswered (at (14'000));
    state.take (at (14'000), ownRemoval ("a", 10));
    EXPECT_EQ (usable(), 4U);

    state.answersReported (period (14'000, 14'200));
    state.advance (at (14'200));
    EXPECT_EQ (usable(), 4U) << "the other node has heard nothing before either";

    state.answersReported (period (0, 14'200));
    state.advance (at (14'250));
    EXPECT_EQ (usable(), 3U);
    const auto lost = state.directory().takeUnlisted();
    EXPECT_EQ (lost.back().cause, UnlistedCause::noOutage);
}

// Guards against dropping running instances after an outage that all nodes have seen.
TEST_F (AnsweredNode, KeepsInstancesThatLapsedInAnOutageOfTheSource)
{
    state.answersReported (period (14'000, 14'000));
    state.take (at (14'010), removal ("a", 10));
    state.answersReported (period (14'000, 16'000));
    state.advance (at (16'000));
    EXPECT_EQ (usable(), 4U);
}

// Guards against dropping most instances because a reader was answered before and after the failed
// call in which their entries expired.
TEST_F (AnsweredNode, KeepsInstancesThatAreMissingTogether)
{
    auto update = removal ("a", 10);
    const auto b = removal ("b", 11), c = removal ("c", 12);
    update.position = revision (12);
    update.instances.push_back (b.instances[0]);
    update.instances.push_back (c.instances[0]);
    state.take (at (10'100), std::move (update));
    EXPECT_EQ (usable(), 4U);
    state.answersReported (period (0, 10'500));
    state.advance (at (10'500));
    EXPECT_EQ (usable(), 4U);
}

// Guards against dropping running instances that a restored source has lost.
TEST_F (AnsweredNode, KeepsInstancesThatARestoreHasLost)
{
    MeshUpdate restored;
    restored.complete = true;
    restored.position = { 1, 5 };
    state.take (at (10'100), std::move (restored));
    state.answersReported (period (0, 10'500));
    state.advance (at (10'500));
    EXPECT_EQ (usable(), 4U);
}

TEST (SourceContinuity, JoinsPeriodsWithoutASilenceInWhichEntriesExpire)
{
    SourceContinuity answers (Milliseconds (2500), Milliseconds (1500), Milliseconds (2500));
    answers.add (period (0, 3000));
    answers.add (period (5400, 5500));
    EXPECT_EQ (answers.period().since, at (0));
    answers.add (period (8000, 8000));
    EXPECT_EQ (answers.period().since, at (8000));
    answers.add (period (0, 5500));
    EXPECT_EQ (answers.period().since, at (8000)) << "ends before the known period";
    answers.add (period (0, 7900));
    EXPECT_EQ (answers.period().since, at (0));
    EXPECT_EQ (answers.period().until, at (8000));
}

// Entries that had yet to be renewed expire sooner.
TEST (SourceContinuity, ASecondSilenceInTheTimeForRenewalsBeginsANewPeriod)
{
    SourceContinuity answers (Milliseconds (2500), Milliseconds (1500), Milliseconds (2500));
    answers.add (period (0, 1000));
    answers.add (period (2500, 2500));
    EXPECT_EQ (answers.period().since, at (2500));
}

} // namespace
} // namespace copperlead::mesh::test
