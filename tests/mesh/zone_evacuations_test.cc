#include "mesh/zone_evacuations.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

using Zones = std::set<std::string>;

TEST (ZoneEvacuations, AnOrderHoldsUntilItIsTakenBack)
{
    ZoneEvacuations known;
    EXPECT_TRUE (known.take (at (0), { "a", revision (5), false }));
    EXPECT_FALSE (known.take (at (0), { "a", revision (6), false })) << "given again";
    EXPECT_TRUE (known.take (at (0), { "b", revision (7), false }));
    EXPECT_EQ (known.zones(), (Zones{ "a", "b" }));
    EXPECT_TRUE (known.take (at (0), { "a", revision (8), true }));
    EXPECT_EQ (known.zones(), Zones{ "b" });
}

TEST (ZoneEvacuations, WhatComesLateChangesNothing)
{
    ZoneEvacuations known;
    EXPECT_FALSE (known.take (at (0), { "a", revision (9), true }));
    EXPECT_FALSE (known.take (at (0), { "a", revision (5), false }));
    EXPECT_TRUE (known.zones().empty());
}

TEST (ZoneEvacuations, AWholeListingTakesBackWhatItLacksUnlessThatIsNewer)
{
    ZoneEvacuations known;
    known.take (at (0), { "a", revision (5), false });
    known.take (at (0), { "b", revision (6), false });
    known.take (at (0), { "c", revision (12), false });
    const auto removed = known.removeAllBut (at (0), { "b" }, revision (10));
    ASSERT_EQ (removed.size(), 1U);
    EXPECT_EQ (removed[0], (EvacuationChange{ "a", revision (10), true }));
    EXPECT_EQ (known.zones(), (Zones{ "b", "c" }));
}

TEST (ZoneEvacuations, OthersAreToldAlsoOfOrdersThatWereTakenBack)
{
    ZoneEvacuations known;
    known.take (at (0), { "a", revision (5), false });
    known.take (at (0), { "b", revision (6), false });
    known.take (at (0), { "a", revision (8), true });
    const auto changes = known.changesSince (revision (6));
    ASSERT_EQ (changes.size(), 1U);
    EXPECT_EQ (changes[0], (EvacuationChange{ "a", revision (8), true }));
}

} // namespace
} // namespace copperlead::mesh::test
