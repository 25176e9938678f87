// Tests of a node's state after its source was restored from a backup. The source then lists older
// entries and reuses revisions in a later epoch.
#include <gtest/gtest.h>

#include "mesh/mesh_state.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

using Ids = std::vector<std::string>;

/** A node that has reached revision 20 of epoch 1 with version 6 and the instances "a" and "b". */
class RestoredSourceState : public ::testing::Test
{
protected:
    RestoredSourceState()
    {
        put ("a", 5);
        put ("b", 6);
        node.take (at (0), listing ({ 1, 20 }, 6));
    }

    void put (const std::string& id, std::uint64_t number, std::uint64_t born = 0)
    {
        auto instance = makeInstance (id, "z1", id[0] - 'a' + 1, number);
        instance.startTimeMs = born;
        entries[id] = { instance, { 0, number }, false };
    }

    InstanceChange draining()
    {
        auto change = entries["a"];
        change.instance.draining = true;
        return change;
    }

    InstanceChange removal()
    {
        auto change = entries["a"];
        change.removed = true;
        return change;
    }

    /** Applies a change, then a listing that lacks it. */
    void loseInRestore (const InstanceChange& change)
    {
        node.take (at (1), event (change, { 1, 21 }));
        node.take (at (2), listing ({ 2, 15 }, 6));
    }

    /** Makes a complete listing of `entries` at a position. */
    MeshUpdate listing (SourcePosition position, std::uint64_t version)
    {
        MeshUpdate update;
        update.complete = true;
        update.position = position;

        for (auto [id, entry] : entries)
        {
            entry.position.epoch = position.epoch;
            entry.instance.createdAt.epoch = position.epoch;
            update.instances.push_back (entry);
        }

        update.configuration = ConfigurationChange{ position, 0, makeConfiguration (version), {} };
        return update;
    }

    /** Makes the update that a watch returns for a change of one entry. */
    static MeshUpdate event (InstanceChange change, SourcePosition position)
    {
        MeshUpdate update;
        update.position = change.position = position;
        update.instances = { std::move (change) };
        return update;
    }

    static Ids usable (MeshState& state)
    {
        Ids ids;
        const auto snapshot = state.directory().snapshot();

        for (const auto& [service, instances] : snapshot->byService)
            for (const auto& listed : instances)
                ids.push_back (listed.instance.id);

        return ids;
    }

    static UpdateOutcome sendUpdate (const MeshState& from, MeshState& to, std::int64_t now)
    {
        const auto update =
            from.changesSince (at (now), to.reached(), to.configurations().version());
        return to.take (at (now),
                        Resolve ([&] { return decodeMeshUpdate (encode (update)); }).value());
    }

    std::map<std::string, InstanceChange> entries;
    MeshState node;
};

TEST_F (RestoredSourceState, TakesAListingOfTheNextEpochWithALowerRevision)
{
    put ("c", 16);
    const auto outcome = node.take (at (1), listing ({ 2, 16 }, 7));
    EXPECT_TRUE (outcome.restored);
    EXPECT_EQ (usable (node), (Ids{ "a", "b", "c" }));
    EXPECT_EQ (node.configurations().version(), 7U);
    EXPECT_EQ (node.reached(), (SourcePosition{ 2, 16 }));
}

TEST_F (RestoredSourceState, ALostConfigurationStaysInForce)
{
    const auto outcome = node.take (at (1), listing ({ 2, 15 }, 4));
    EXPECT_EQ (outcome.configuration->verdict, ConfigurationVerdict::older);
    EXPECT_EQ (node.configurations().version(), 6U);
}

TEST_F (RestoredSourceState, TakesALaterConfigurationOfAnEarlierEpoch)
{
    MeshState started;
    started.take (at (1), listing ({ 2, 15 }, 4));
    const auto outcome = sendUpdate (node, started, 2);
    EXPECT_EQ (outcome.configuration->verdict, ConfigurationVerdict::taken);
    EXPECT_EQ (started.configurations().version(), 6U);
    EXPECT_EQ (started.reached(), (SourcePosition{ 2, 15 }));
}

TEST_F (RestoredSourceState, IgnoresInstancesOfAnEarlierEpoch)
{
    MeshState started;
    entries.erase ("b");
    started.take (at (1), listing ({ 2, 15 }, 6));
    put ("b", 18);
    put ("c", 19);
    node.take (at (1), listing ({ 1, 25 }, 6));
    started.take (at (2), node.changesSince (at (2), {}, 0));
    EXPECT_EQ (usable (started), Ids{ "a" });
}

TEST_F (RestoredSourceState, ADrainingInstanceThatIsListedAsReadyAgainIsNotUsed)
{
    loseInRestore (draining());
    EXPECT_EQ (usable (node), Ids{ "b" });
    node.take (at (3), listing ({ 2, 16 }, 6));
    node.take (at (4), listing ({ 3, 12 }, 6));
    EXPECT_EQ (usable (node), Ids{ "b" }) << "listed again, and restored once more";

    node.advance (at (120'000));
    EXPECT_EQ (usable (node), Ids{ "b" });
}

TEST_F (RestoredSourceState, ADrainingInstanceIsUsedAgainOnceItsEntryIsRewritten)
{
    loseInRestore (draining());
    node.take (at (3), event (entries["a"], { 2, 16 }));
    EXPECT_EQ (usable (node), (Ids{ "a", "b" }));
}

TEST_F (RestoredSourceState, ARemovedInstanceIsUsedAgainAfterTheRetentionTime)
{
    loseInRestore (removal());
    node.advance (at (29'000));
    EXPECT_EQ (usable (node), Ids{ "b" });
    node.advance (at (31'000));
    EXPECT_EQ (usable (node), (Ids{ "a", "b" }));
}

TEST_F (RestoredSourceState, ForwardsARemovalThatTheSourceLost)
{
    loseInRestore (removal());
    MeshState started, cutOff;
    cutOff.take (at (0), listing ({ 1, 18 }, 6));
    sendUpdate (node, started, 3);
    sendUpdate (node, cutOff, 3);
    EXPECT_EQ (usable (started), Ids{ "b" });
    EXPECT_EQ (usable (cutOff), Ids{ "b" });
    EXPECT_EQ (cutOff.reached(), node.reached());
}

TEST_F (RestoredSourceState, AnInstanceThatTheSourceLostLapsesUnlessItIsRewritten)
{
    const auto lost = entries["b"];
    entries.erase ("b");
    node.take (at (1), listing ({ 2, 5 }, 6));
    EXPECT_EQ (usable (node), (Ids{ "a", "b" }));
    MeshState rewritten = node;
    rewritten.take (at (1000), event (lost, { 2, 6 }));

    for (auto* const state : { &node, &rewritten })
        state->advance (at (2600));

    EXPECT_EQ (usable (node), Ids{ "a" });
    EXPECT_EQ (usable (rewritten), (Ids{ "a", "b" }));
}

// Guards against taking an entry that is written after a restore for the removed one of before, and
// leaving its running instance unused for the whole retention time.
TEST_F (RestoredSourceState, ARemovedInstanceThatTheCopyLacksIsUsedOnceItIsListed)
{
    auto written = entries["a"];
    node.take (at (1), event (removal(), { 1, 21 }));
    entries.erase ("a");
    node.take (at (2), listing ({ 2, 3 }, 6));
    EXPECT_EQ (usable (node), Ids{ "b" });
    node.take (at (3), event (written, { 2, 4 }));
    EXPECT_EQ (usable (node), (Ids{ "a", "b" }));
}

TEST_F (RestoredSourceState, AnEarlierIncarnationDoesNotReplaceTheLaterOne)
{
    put ("a", 18, 2000);
    node.take (at (1), listing ({ 1, 21 }, 6));
    put ("a", 5, 1000);
    node.take (at (2), listing ({ 2, 15 }, 6));
    EXPECT_EQ (node.directory().snapshot()->byService.at ("desk")[0].instance.startTimeMs, 2000U);
    EXPECT_EQ (usable (node), (Ids{ "a", "b" }));
    put ("a", 16, 2000);
    node.take (at (3), event (entries["a"], { 2, 16 }));
    node.advance (at (9000));
    EXPECT_EQ (usable (node), (Ids{ "a", "b" }));
}

TEST_F (RestoredSourceState, ASuccessorWithALowerRevisionTakesOverTheAddress)
{
    node.take (at (1), listing ({ 2, 3 }, 6)); // Instance "a" was created at revision 5 of epoch 1.
    auto next = entries["a"];
    next.instance.id = "next";
    next.instance.createdAt = { 2, 4 };
    node.take (at (2), event (next, { 2, 4 }));
    EXPECT_EQ (node.directory().snapshot()->byAddress.at ("10.0.0.1:8000").instance.id, "next");
}

MeshUpdate evacuationOrder (SourcePosition position, bool over)
{
    MeshUpdate update;
    update.position = position;
    update.evacuations = { { "z1", position, over } };
    return update;
}

TEST_F (RestoredSourceState, AnEvacuationThatTheSourceLostIsRetainedForALimitedTime)
{
    node.take (at (1), evacuationOrder ({ 1, 21 }, false));
    EXPECT_TRUE (node.take (at (2), listing ({ 2, 15 }, 6)).evacuations.empty());
    node.take (at (3), listing ({ 2, 16 }, 6));
    MeshState started;
    sendUpdate (node, started, 4);

    for (auto* const state : { &node, &started })
    {
        EXPECT_TRUE (usable (*state).empty());
        EXPECT_TRUE (state->advance (at (29'000)).empty());
        EXPECT_EQ (state->advance (at (31'000)).size(), 1U);
        EXPECT_EQ (usable (*state).size(), 2U);
    }
}

TEST_F (RestoredSourceState, AnEvacuationThatIsOrderedAgainLastsUntilItIsCancelled)
{
    node.take (at (1), evacuationOrder ({ 1, 21 }, false));
    node.take (at (2), listing ({ 2, 15 }, 6));
    node.take (at (3), evacuationOrder ({ 2, 16 }, false));
    EXPECT_TRUE (node.advance (at (60'000)).empty());
    EXPECT_TRUE (usable (node).empty());
    node.take (at (60'001), evacuationOrder ({ 2, 17 }, true));
    EXPECT_EQ (usable (node).size(), 2U);
}

TEST_F (RestoredSourceState, ACancelledEvacuationIsNotRestored)
{
    node.take (at (1), evacuationOrder ({ 1, 21 }, false));
    node.take (at (2), evacuationOrder ({ 1, 22 }, true));
    auto copy = listing ({ 2, 21 }, 6);
    copy.evacuations = { { "z1", { 2, 21 }, false } };
    node.take (at (3), copy);
    copy.position.revision = 22;
    node.take (at (4), copy);
    EXPECT_EQ (usable (node).size(), 2U);
    node.take (at (5), evacuationOrder ({ 2, 23 }, false));
    EXPECT_TRUE (usable (node).empty());
}

// Guards against a node that reports itself as not ready after a restore from an empty backup.
TEST_F (RestoredSourceState, AnEmptyBackupLeavesItsPositionKnown)
{
    entries.clear();
    node.take (at (1), listing ({ 2, 0 }, 6));
    EXPECT_EQ (node.reached(), (SourcePosition{ 2, 0 }));
    EXPECT_TRUE (node.reached().isKnown());
}

// The same for a source that counts its epochs from 0.
TEST (EmptyBackup, LeavesTheSourceKnownAlsoInEpochOne)
{
    MeshState node;
    MeshUpdate update;
    update.complete = true;
    node.take (at (0), update);
    EXPECT_FALSE (node.sourceKnown());
    update.position = { 0, 20 };
    node.take (at (1), update);
    EXPECT_TRUE (node.sourceKnown());
    update.position = { 1, 0 };
    node.take (at (2), update);
    EXPECT_EQ (node.reached(), (SourcePosition{ 1, 0 }));
    EXPECT_TRUE (node.sourceKnown());
}

} // namespace
} // namespace copperlead::mesh::test
