#include "mesh/instance_directory.h"

#include <gtest/gtest.h>

#include "mesh/local_instance.h"
#include "mesh/quota_view.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr Milliseconds trusted{ 0 }, untrusted = InstanceDirectory::lapsedGracePeriod;

std::vector<std::string> usable (InstanceDirectory& directory)
{
    std::vector<std::string> ids;
    const auto snapshot = directory.snapshot();

    for (const auto& [service, instances] : snapshot->byService)
        for (const auto& listed : instances)
            ids.push_back (listed.instance.id);

    return ids;
}

using Ids = std::vector<std::string>;

TEST (InstanceDirectory, DrainingAndRemovedInstancesAreNotUsable)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("a", "z1", 1), revision (5));
    directory.put (at (0), makeInstance ("b", "z1", 2), revision (6));
    auto draining = makeInstance ("a", "z1", 1);
    draining.draining = true;
    directory.put (at (1), draining, revision (7));
    EXPECT_EQ (usable (directory), Ids{ "b" });
    directory.remove (at (2), "b", revision (8), trusted);
    EXPECT_TRUE (usable (directory).empty());
}

TEST (InstanceDirectory, OlderUpdatesAreIgnored)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("a", "z1", 1), revision (9));
    directory.remove (at (1), "a", revision (8), trusted);
    EXPECT_EQ (usable (directory), Ids{ "a" });
    auto draining = makeInstance ("a", "z1", 1);
    draining.draining = true;
    directory.put (at (1), draining, revision (8));
    EXPECT_EQ (usable (directory), Ids{ "a" });
}

TEST (InstanceDirectory, LapsedEntriesStayUsableForTheGracePeriod)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("a", "z1", 1), revision (5));
    directory.removeUnlisted (at (10), {}, revision (9), untrusted);
    EXPECT_EQ (usable (directory), Ids{ "a" });
    EXPECT_EQ (directory.snapshot()->byService.at ("desk")[0].state, InstanceState::lapsed);
    directory.advance (at (2500));
    EXPECT_EQ (usable (directory), Ids{ "a" });
    directory.advance (at (2520));
    EXPECT_TRUE (usable (directory).empty());
}

TEST (InstanceDirectory, ALapsedEntryThatIsListedAgainIsReady)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("a", "z1", 1), revision (5));
    directory.remove (at (10), "a", revision (9), untrusted);
    directory.put (at (20), makeInstance ("a", "z1", 1), revision (11));
    directory.advance (at (9000));
    EXPECT_EQ (directory.snapshot()->byService.at ("desk")[0].state, InstanceState::ready);
}

TEST (InstanceDirectory, TheNewestEntryOfAnAddressIsUsed)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("dead", "z1", 1, 5), revision (5));
    auto other = makeInstance ("new", "z1", 1, 9);
    other.service = "hub";
    directory.put (at (1), other, revision (9));
    EXPECT_EQ (directory.snapshot()->byAddress.at ("10.0.0.1:8000").instance.id, "new");
    EXPECT_EQ (directory.snapshot()->nodes, 1U);
}

ListedInstance listed (const std::string& id, std::uint64_t createdAt,
                       InstanceState state = InstanceState::ready)
{
    return { makeInstance (id, "z1", 1, createdAt), state, revision (createdAt), at (0) };
}

TEST (InstanceDirectory, AnEntryWithAnEarlierStartTimeIsNotUsable)
{
    InstanceDirectory directory;
    directory.put (at (0), withStartTime (makeInstance ("a", "z1", 1), 2000), revision (5));
    directory.put (at (1), withStartTime (makeInstance ("a", "z1", 1), 1000), revision (6));
    EXPECT_TRUE (usable (directory).empty());
    directory.put (at (2), withStartTime (makeInstance ("a", "z1", 1), 1500), revision (7));
    EXPECT_TRUE (usable (directory).empty());
    directory.put (at (3), withStartTime (makeInstance ("a", "z1", 1), 2000), revision (8));
    EXPECT_EQ (usable (directory), Ids{ "a" });
}

TEST (InstanceDirectory, ALaterIncarnationOfADepartedInstanceIsUsableAtOnce)
{
    InstanceDirectory directory;
    directory.put (at (0), withStartTime (makeInstance ("a", "z1", 1), 1000), revision (5));
    directory.remove (at (1), "a", revision (6), trusted);
    directory.put (at (2), withStartTime (makeInstance ("a", "z1", 1), 2000), revision (7));
    EXPECT_EQ (usable (directory), Ids{ "a" });
}

TEST (InstanceDirectory, EntriesWithoutAStartTimeAreAccepted)
{
    InstanceDirectory directory;
    directory.put (at (0), withStartTime (makeInstance ("a", "z1", 1), 1000), revision (5));
    directory.put (at (1), makeInstance ("a", "z1", 1), revision (6));
    EXPECT_EQ (usable (directory), Ids{ "a" });
    directory.put (at (2), withStartTime (makeInstance ("a", "z1", 1), 500), revision (7));
    EXPECT_TRUE (usable (directory).empty()) << "the start time was known before";
}

TEST (LocalInstance, ALaterIncarnationWithTheSameIdIsAnotherInstance)
{
    LocalInstance local ("desk");
    auto entry = listed ("a", 5);
    entry.instance.startTimeMs = 1000;
    EXPECT_TRUE (local.updateFromEntry (&entry));
    EXPECT_TRUE (local.recordFailure (at (0), true));
    EXPECT_FALSE (local.updateFromEntry (&entry));
    EXPECT_TRUE (local.lost());
    entry.instance.startTimeMs = 2000;
    EXPECT_TRUE (local.updateFromEntry (&entry));
    EXPECT_FALSE (local.lost());
}

TEST (LocalInstance, TheReportedIdTakesPrecedenceOverTheEntryOfADeadInstance)
{
    LocalInstance local ("desk");
    const auto dead = listed ("dead", 5);
    EXPECT_TRUE (local.updateFromEntry (&dead));
    EXPECT_TRUE (local.recordReportedId ("alive"));
    EXPECT_FALSE (local.updateFromEntry (&dead)); // The store still lists it.
    EXPECT_EQ (local.id(), "alive");
    EXPECT_EQ (local.service(), "desk");

    const auto own = listed ("alive", 8);
    EXPECT_FALSE (local.updateFromEntry (&own));
    EXPECT_EQ (local.identitySource(), IdentitySource::entry);
}

TEST (LocalInstance, AnEntryCreatedLaterTakesPrecedenceOverTheReportedId)
{
    LocalInstance local ("desk");
    const auto first = listed ("first", 5);
    local.updateFromEntry (&first);
    local.recordReportedId ("second");
    auto third = listed ("third", 9);
    third.instance.service = "hub";
    EXPECT_TRUE (local.updateFromEntry (&third));
    EXPECT_EQ (local.id(), "third");
    EXPECT_EQ (local.service(), "hub");
}

TEST (LocalInstance, LeavingIsTakenFromTheEntry)
{
    LocalInstance local ("desk");
    const auto leaving = listed ("a", 5, InstanceState::leaving);
    local.updateFromEntry (&leaving);
    EXPECT_TRUE (local.leaving());
    const auto next = listed ("b", 6);
    local.updateFromEntry (&next);
    EXPECT_FALSE (local.leaving());
}

TEST (LocalInstance, IsLostAfterOneRefusedConnectionOrSeveralUnansweredCalls)
{
    LocalInstance local ("desk");
    const auto entry = listed ("a", 5);
    local.updateFromEntry (&entry);
    EXPECT_FALSE (local.wantsProbe (at (0)));
    EXPECT_TRUE (local.recordFailure (at (0), true));
    EXPECT_TRUE (local.wantsProbe (at (0)));
    EXPECT_TRUE (local.recordAnswer (at (1)));
    EXPECT_FALSE (local.lost());

    for (int calls = 0; calls < 3; ++calls)
        EXPECT_FALSE (local.recordFailure (at (2), false));

    EXPECT_TRUE (local.recordFailure (at (2), false));
}

TEST (InstanceDirectory, InstancesInEvacuatedZonesStillCountAsNodes)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("a", "z1", 1), revision (5));
    directory.put (at (0), makeInstance ("b", "z2", 2), revision (6));
    directory.setEvacuatedZones ({ "z1" });
    EXPECT_EQ (usable (directory), Ids{ "b" });
    EXPECT_EQ (directory.snapshot()->nodes, 2U);
    EXPECT_EQ (directory.snapshot()->byAddress.size(), 2U);
    directory.setEvacuatedZones ({});
    EXPECT_EQ (usable (directory), (Ids{ "a", "b" }));
}

/** Entries at one address, newest first. */
class EntriesAtOneAddress : public ::testing::Test
{
protected:
    static ListedInstance entryOf (const std::string& id, const std::string& service,
                                   std::uint64_t createdAt)
    {
        ListedInstance entry;
        entry.instance = makeInstance (id, "z1", 1, createdAt);
        entry.instance.service = service;
        return entry;
    }

    /** @returns the id that the node takes the instance for */
    std::string idAfter (const std::vector<const ListedInstance*>& entries)
    {
        local.updateFromEntry (local.chooseEntry (entries));
        return local.id();
    }

    LocalInstance local{ "desk" };
    ListedInstance own = entryOf ("own", "desk", 1), other = entryOf ("other", "hub", 2);
};

// Guards against an instance that gets no request because of a newer entry, while it tells that it
// is the one of the older entry.
TEST_F (EntriesAtOneAddress, TheInstanceIsUsedAndAskedWhichEntryIsItsOwn)
{
    EXPECT_EQ (idAfter ({ &other, &own }), "own");
    EXPECT_TRUE (local.wantsProbe (at (0)));
    local.probed (at (0));
    EXPECT_FALSE (local.wantsProbe (at (900)));
    local.recordReportedId ("own");
    EXPECT_EQ (idAfter ({ &other, &own }), "own");
    EXPECT_FALSE (local.wantsProbe (at (5000)));

    own.state = InstanceState::leaving;
    idAfter ({ &other, &own });
    EXPECT_TRUE (local.leaving());
}

TEST_F (EntriesAtOneAddress, AnInstanceThatHasReplacedAnotherIsTakenForItself)
{
    EXPECT_EQ (idAfter ({ &own }), "own");
    local.recordReportedId ("own");
    EXPECT_EQ (idAfter ({ &other, &own }), "own");
    EXPECT_TRUE (local.recordReportedId ("other"));
    EXPECT_EQ (idAfter ({ &other, &own }), "other");
    EXPECT_EQ (local.service(), "hub");
    EXPECT_FALSE (local.wantsProbe (at (0)));
}

TEST_F (EntriesAtOneAddress, AnEntryCreatedAfterTheReportNamesASuccessor)
{
    EXPECT_EQ (idAfter ({ &own }), "own");
    local.recordReportedId ("own");
    const auto successor = entryOf ("next", "desk", 3);
    EXPECT_EQ (idAfter ({ &successor, &own }), "next");
    own.state = InstanceState::leaving;
    EXPECT_EQ (idAfter ({ &other, &own }), "other") << "the instance has left its address";
}

// Guards against taking an entry of an unnamed service for the instance, in whichever order entry
// and configuration come.
TEST (InstanceDirectory, EntriesOfUnnamedServicesComeLastAtTheirAddress)
{
    InstanceDirectory directory;
    auto foreign = makeInstance ("foreign", "z1", 1, 5);
    foreign.service = "inventory";
    directory.put (at (0), makeInstance ("own", "z1", 1, 2), revision (2));
    directory.put (at (0), foreign, revision (5));
    const auto first = [&] { return directory.snapshot()->byAddress.at ("10.0.0.1:8000"); };
    EXPECT_EQ (first().instance.id, "foreign") << "no configuration is known yet";
    EXPECT_TRUE (directory.takeUnnamed().empty());

    EXPECT_TRUE (directory.setServices ({ "desk" }));
    EXPECT_FALSE (directory.setServices ({ "desk" }));
    EXPECT_EQ (first().instance.id, "own");
    const auto& others = directory.snapshot()->othersByAddress.at ("10.0.0.1:8000");
    ASSERT_EQ (others.size(), 1U);
    EXPECT_FALSE (others[0].isNamed);
    EXPECT_EQ (directory.takeUnnamed(), std::vector<std::string>{ "foreign" });
    EXPECT_TRUE (directory.takeUnnamed().empty()) << "each is reported once";

    directory.setServices ({ "desk", "inventory" });
    EXPECT_EQ (first().instance.id, "foreign");
}

// Guards against two keepers of one quota: nodes that have seen another writer's entry come and go
// at a machine's address didn't count that machine, while the others did.
TEST (InstanceDirectory, AnEntryThatHasComeAndGoneHidesNoMachineFromItsQuotaNodes)
{
    InstanceDirectory directory;
    auto foreign = makeInstance ("foreign", "z1", 1, 5);
    foreign.service = "hub";
    directory.put (at (0), makeInstance ("own", "z1", 1, 2), revision (2));
    const auto before = quotaNodesOf (*directory.snapshot());
    directory.put (at (0), foreign, revision (5));
    directory.remove (at (0), "foreign", revision (6), Milliseconds (0));
    EXPECT_EQ (quotaNodesOf (*directory.snapshot()), before);
    directory.remove (at (0), "own", revision (7), Milliseconds (0));
    EXPECT_TRUE (quotaNodesOf (*directory.snapshot()).empty());
}

} // namespace
} // namespace copperlead::mesh::test
