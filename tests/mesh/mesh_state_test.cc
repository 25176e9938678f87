#include "mesh/mesh_state.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

MeshUpdate completeUpdate (std::uint64_t version, std::uint64_t number)
{
    MeshUpdate update;
    update.complete = true;
    update.position = revision (number);
    update.instances = { { makeInstance ("a", "z1", 1), revision (2), false },
                         { makeInstance ("b", "z1", 2), revision (3), false } };
    update.configuration =
        ConfigurationChange{ revision (number), 0, makeConfiguration (version), {} };
    return update;
}

MeshUpdate removal (const std::string& id, std::uint64_t number, bool trusted)
{
    MeshUpdate update;
    update.position = revision (number);
    InstanceChange change;
    change.instance.id = id;
    change.position = revision (number);
    change.removed = true;
    change.grace = trusted ? Milliseconds (0) : InstanceDirectory::lapsedGracePeriod;
    update.instances = { change };
    return update;
}

std::size_t usable (MeshState& state)
{
    const auto snapshot = state.directory().snapshot();
    const auto found = snapshot->byService.find ("desk");
    return found == snapshot->byService.end() ? 0 : found->second.size();
}

/** Sends the changes that `to` lacks from `from`, through the codec. */
UpdateOutcome sendUpdate (const MeshState& from, MeshState& to)
{
    const auto update = from.changesSince (at (5), to.reached(), to.configurations().version());
    return to.take (at (5), Resolve ([&] { return decodeMeshUpdate (encode (update)); }).value());
}

TEST (MeshState, ANewNodeReceivesTheCompleteState)
{
    MeshState reader, node;
    reader.take (at (0), completeUpdate (4, 9));
    const auto outcome = sendUpdate (reader, node);
    EXPECT_EQ (outcome.configuration->verdict, ConfigurationVerdict::taken);
    EXPECT_EQ (node.reached(), revision (9));
    EXPECT_EQ (usable (node), 2U);
}

TEST (MeshState, IgnoresAListingOlderThanThePositionReached)
{
    MeshState node;
    node.take (at (0), completeUpdate (4, 9));
    node.take (at (1), removal ("a", 10, true));
    auto late = completeUpdate (3, 8);
    late.instances.push_back ({ makeInstance ("c", "z1", 3), revision (7), false });
    const auto outcome = node.take (at (2), late);
    EXPECT_FALSE (outcome.instancesChanged);
    EXPECT_FALSE (outcome.configuration);
    EXPECT_EQ (usable (node), 1U);
    EXPECT_EQ (node.reached(), revision (10));
}

TEST (MeshState, AnUpToDateNodeReceivesNoChanges)
{
    MeshState reader, node;
    reader.take (at (0), completeUpdate (4, 9));
    sendUpdate (reader, node);
    const auto again = reader.changesSince (at (2), revision (9), 4);
    EXPECT_FALSE (again.complete);
    EXPECT_TRUE (again.instances.empty());
    EXPECT_FALSE (again.configuration);
}

TEST (MeshState, AChangeOfAnotherBaseIsRefusedAndTheCompleteConfigurationApplied)
{
    MeshState reader, node;
    reader.take (at (0), completeUpdate (4, 9));
    sendUpdate (reader, node);
    reader.take (at (1), completeUpdate (6, 12));
    const auto change = reader.changesSince (at (2), revision (9), 4);
    EXPECT_EQ (change.configuration->baseVersion, 4U);

    node.take (at (1), completeUpdate (5, 11)); // The node reads version 5 from the source itself.
    const auto refused = node.take (at (2), change);
    EXPECT_FALSE (refused.configuration->verdict);
    EXPECT_EQ (refused.configuration->error.kind, ErrorKind::kUnknownBase);
    EXPECT_EQ (node.configurations().version(), 5U);

    node.take (at (3), reader.changesSince (at (2), revision (9), 0));
    EXPECT_EQ (node.configurations().version(), 6U);
}

TEST (MeshState, OlderAndInvalidConfigurationsAreRefused)
{
    MeshState state;
    state.take (at (0), completeUpdate (6, 9));
    const auto older = state.take (at (1), completeUpdate (5, 10));
    EXPECT_EQ (older.configuration->verdict, ConfigurationVerdict::older);
    auto damaged = completeUpdate (7, 11);
    damaged.configuration->content.routes[0].services = { { "nobody", 1 } };
    const auto refused = state.take (at (2), damaged);
    EXPECT_FALSE (refused.configuration->verdict);
    EXPECT_EQ (refused.configuration->error.kind, ErrorKind::kUnknownService);
    EXPECT_EQ (state.configurations().version(), 6U);
}

TEST (MeshState, DistinguishesDepartedAndLapsedInstances)
{
    MeshState reader, node;
    reader.take (at (0), completeUpdate (4, 9));
    sendUpdate (reader, node);
    reader.take (at (1), removal ("a", 10, true));
    reader.take (at (1), removal ("b", 11, false));
    sendUpdate (reader, node);
    EXPECT_EQ (usable (node), 1U);
    EXPECT_EQ (node.directory().snapshot()->byService.at ("desk")[0].state, InstanceState::lapsed);
}

MeshUpdate listingOfThree (std::uint64_t number)
{
    auto update = completeUpdate (4, number);
    update.instances.push_back ({ makeInstance ("c", "z1", 3), revision (4), false });
    return update;
}

/** Removals as the source's reader gets them. */
MeshUpdate removalsAfterAFailedCall (const std::vector<std::string>& ids, std::uint64_t number)
{
    MeshUpdate update;
    update.position = revision (number);
    update.absence.interrupted = true;

    for (const auto& id : ids)
    {
        auto change = removal (id, number, true).instances[0];
        change.grace.reset();
        update.instances.push_back (change);
    }

    return update;
}

TEST (MeshState, AnInstanceThatLeavesRightAfterAFailedCallIsUnusableAtOnce)
{
    MeshState node;
    node.take (at (0), listingOfThree (9));
    node.take (at (1), removalsAfterAFailedCall ({ "a" }, 10));
    EXPECT_EQ (usable (node), 2U);
}

// Guards against dropping all instances after an outage that is shorter than entries last.
TEST (MeshState, MostInstancesMissingAtOnceAfterAFailedCallHaveLapsed)
{
    MeshState node;
    node.take (at (0), listingOfThree (9));
    node.take (at (1), removalsAfterAFailedCall ({ "a", "b" }, 10));
    EXPECT_EQ (usable (node), 3U);

    MeshState listing;
    listing.take (at (0), listingOfThree (9));
    auto update = listingOfThree (10);
    update.instances.erase (update.instances.begin(), update.instances.begin() + 2);
    update.absence.interrupted = true;
    listing.take (at (1), update);
    EXPECT_EQ (usable (listing), 3U);

    MeshState undisturbed;
    undisturbed.take (at (0), listingOfThree (9));
    update.absence.interrupted = false;
    undisturbed.take (at (1), update);
    EXPECT_EQ (usable (undisturbed), 1U);
}

// Guards against a lapse that begins anew at each node that hears of it.
TEST (MeshState, ALapseEndsAtTheSameTimeOnEachNode)
{
    MeshState reader, node, last;
    reader.take (at (0), completeUpdate (4, 9));
    sendUpdate (reader, node);
    sendUpdate (reader, last);
    reader.take (at (1000), removal ("b", 10, false));
    node.take (at (3000), reader.changesSince (at (3000), node.reached(), 4));
    last.take (at (3400), node.changesSince (at (3400), last.reached(), 4));
    EXPECT_EQ (usable (last), 2U);
    EXPECT_EQ (last.directory().nextLapseEnd(), at (3500));

    for (auto* state : { &reader, &node, &last })
    {
        state->advance (at (3500));
        EXPECT_EQ (usable (*state), 1U);
    }
}

TEST (MeshState, ALapseDoesNotEndInAnOutage)
{
    MeshState node;
    node.take (at (0), completeUpdate (4, 9));
    node.take (at (1), removal ("b", 10, false));
    node.advance (at (2600), false);
    EXPECT_EQ (usable (node), 2U);
    node.advance (at (5099));
    EXPECT_EQ (usable (node), 2U);
    node.advance (at (5100));
    EXPECT_EQ (usable (node), 1U);
}

TEST (MeshState, ALapseEndsAlsoInAnOutageThatDoesNotEnd)
{
    MeshState node;
    node.take (at (0), completeUpdate (4, 9));
    node.take (at (1), removal ("b", 10, false));

    for (std::int64_t now = 0; now <= 32'000; now += 1000)
        node.advance (at (now), false);

    EXPECT_EQ (usable (node), 2U);
    node.advance (at (33'000), false);
    EXPECT_EQ (usable (node), 1U);
}

TEST (MeshState, AnUpdateOfANewNodeRemovesInstancesThatLeftBeforeItsStart)
{
    MeshState node, started;
    node.take (at (0), completeUpdate (4, 9));
    // Instance "b" left at revision 10, so a node that lists the source later does not know it.
    auto listing = completeUpdate (5, 12);
    listing.instances.pop_back();
    started.take (at (1), listing);
    sendUpdate (started, node);
    EXPECT_EQ (node.reached(), revision (12));
    EXPECT_EQ (usable (node), 1U);
}

TEST (MeshState, LapsedInstancesStayUsableAfterACompleteUpdate)
{
    MeshState reader, node;
    reader.take (at (0), completeUpdate (4, 9));
    sendUpdate (reader, node);
    reader.take (at (1), removal ("b", 10, false));
    reader.take (at (1), removal ("a", 11, true));
    auto update = reader.changesSince (at (2), revision (0), 4);
    update.complete = true;
    node.take (at (2), update);
    EXPECT_EQ (usable (node), 1U);
}

MeshUpdate evacuation (const std::string& zone, std::uint64_t number, bool over)
{
    MeshUpdate update;
    update.position = revision (number);
    update.evacuations = { { zone, revision (number), over } };
    return update;
}

TEST (MeshState, InstancesOfAnEvacuatedZoneAreUnusableUntilTheEvacuationEnds)
{
    MeshState reader, node;
    reader.take (at (0), completeUpdate (4, 9));
    sendUpdate (reader, node);
    reader.take (at (1), evacuation ("z1", 10, false));
    const auto outcome = sendUpdate (reader, node);
    EXPECT_TRUE (outcome.instancesChanged);
    ASSERT_EQ (outcome.evacuations.size(), 1U);
    EXPECT_EQ (usable (node), 0U);
    EXPECT_EQ (node.directory().snapshot()->evacuatedZones, std::set<std::string>{ "z1" });
    EXPECT_EQ (node.directory().snapshot()->nodes, 2U) << "the nodes of the zone keep running";

    reader.take (at (2), evacuation ("z1", 11, true));
    EXPECT_EQ (sendUpdate (reader, node).evacuations.size(), 1U);
    EXPECT_EQ (usable (node), 2U);
}

TEST (MeshState, ANodeThatStartsDuringAnEvacuationReceivesIt)
{
    MeshState reader, node;
    reader.take (at (0), completeUpdate (4, 9));
    reader.take (at (1), evacuation ("z1", 10, false));
    reader.take (at (1), evacuation ("z2", 11, false));
    sendUpdate (reader, node);
    EXPECT_EQ (node.evacuatedZones(), (std::set<std::string>{ "z1", "z2" }));
    EXPECT_EQ (usable (node), 0U);
}

TEST (MeshState, AListingWithoutTheOrderEndsTheEvacuation)
{
    MeshState node;
    node.take (at (0), completeUpdate (4, 9));
    node.take (at (1), evacuation ("z1", 10, false));
    EXPECT_EQ (usable (node), 0U);
    const auto outcome = node.take (at (2), completeUpdate (4, 12));
    ASSERT_EQ (outcome.evacuations.size(), 1U);
    EXPECT_TRUE (outcome.evacuations[0].ended);
    EXPECT_EQ (usable (node), 2U);
}

} // namespace
} // namespace copperlead::mesh::test
