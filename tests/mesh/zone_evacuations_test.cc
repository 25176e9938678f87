#include "mesh/zone_evacuations.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

using Zones = std::set<std::string>;

TEST (ZoneEvacuations, EvacuationLastsUntilItEnds)
{
    ZoneEvacuations evacuations;
    EXPECT_TRUE (evacuations.apply (at (0), { "a", revision (5), false }));
    EXPECT_FALSE (evacuations.apply (at (0), { "a", revision (6), false })) << "evacuated already";
    EXPECT_TRUE (evacuations.apply (at (0), { "b", revision (7), false }));
    EXPECT_EQ (evacuations.zones(), (Zones{ "a", "b" }));
    EXPECT_TRUE (evacuations.apply (at (0), { "a", revision (8), true }));
    EXPECT_EQ (evacuations.zones(), Zones{ "b" });
}

TEST (ZoneEvacuations, OlderChangesAreIgnored)
{
    ZoneEvacuations evacuations;
    EXPECT_FALSE (evacuations.apply (at (0), { "a", revision (9), true }));
    EXPECT_FALSE (evacuations.apply (at (0), { "a", revision (5), false }));
    EXPECT_TRUE (evacuations.zones().empty());
}

TEST (ZoneEvacuations, CompleteListingEndsOlderUnlistedEvacuations)
{
    ZoneEvacuations evacuations;
    evacuations.apply (at (0), { "a", revision (5), false });
    evacuations.apply (at (0), { "b", revision (6), false });
    evacuations.apply (at (0), { "c", revision (12), false });
    const auto removed = evacuations.removeUnlisted (at (0), { "b" }, revision (10));
    ASSERT_EQ (removed.size(), 1U);
    EXPECT_EQ (removed[0], (EvacuationChange{ "a", revision (10), true }));
    EXPECT_EQ (evacuations.zones(), (Zones{ "b", "c" }));
}

TEST (ZoneEvacuations, ChangesIncludeEndedEvacuations)
{
    ZoneEvacuations evacuations;
    evacuations.apply (at (0), { "a", revision (5), false });
    evacuations.apply (at (0), { "b", revision (6), false });
    evacuations.apply (at (0), { "a", revision (8), true });
    const auto changes = evacuations.changesSince (revision (6));
    ASSERT_EQ (changes.size(), 1U);
    EXPECT_EQ (changes[0], (EvacuationChange{ "a", revision (8), true }));
}

// Guards against taking an order given after a restore for the ended one of before, and ignoring it
// for the whole retention time.
TEST (ZoneEvacuations, AnOrderUnderAReusedRevisionIsInForceAtOnce)
{
    ZoneEvacuations evacuations;
    evacuations.apply (at (0), { "a", { 1, 20 }, false });
    evacuations.apply (at (0), { "a", { 1, 25 }, true });
    evacuations.removeUnlisted (at (100), {}, { 2, 12 });
    EXPECT_TRUE (evacuations.apply (at (200), { "a", { 2, 14 }, false }));
    EXPECT_EQ (evacuations.zones(), Zones{ "a" });
}

TEST (ZoneEvacuations, ARetainedEndStaysWhenTheSourceNoLongerListsTheOrder)
{
    ZoneEvacuations evacuations;
    evacuations.apply (at (0), { "a", { 1, 10 }, false });
    evacuations.apply (at (0), { "a", { 1, 25 }, true });
    evacuations.apply (at (100), { "a", { 2, 10 }, false });
    evacuations.removeUnlisted (at (200), {}, { 2, 30 });
    evacuations.advance (at (60'000));
    EXPECT_TRUE (evacuations.zones().empty());
}

} // namespace
} // namespace copperlead::mesh::test
