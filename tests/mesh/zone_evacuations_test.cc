#include "mesh/zone_evacuations.h"

#include <gtest/gtest.h>

namespace copperlead::mesh
{
namespace
{

using Zones = std::set<std::string>;

TEST (ZoneEvacuations, AnOrderHoldsUntilItIsTakenBack)
{
    ZoneEvacuations known;
    EXPECT_TRUE (known.take ({ "a", 5, false }));
    EXPECT_FALSE (known.take ({ "a", 6, false })) << "given again";
    EXPECT_TRUE (known.take ({ "b", 7, false }));
    EXPECT_EQ (known.zones(), (Zones{ "a", "b" }));
    EXPECT_TRUE (known.take ({ "a", 8, true }));
    EXPECT_EQ (known.zones(), Zones{ "b" });
}

TEST (ZoneEvacuations, WhatComesLateChangesNothing)
{
    ZoneEvacuations known;
    EXPECT_FALSE (known.take ({ "a", 9, true }));
    EXPECT_FALSE (known.take ({ "a", 5, false }));
    EXPECT_TRUE (known.zones().empty());
}

TEST (ZoneEvacuations, AWholeListingTakesBackWhatItLacksUnlessThatIsNewer)
{
    ZoneEvacuations known;
    known.take ({ "a", 5, false });
    known.take ({ "b", 6, false });
    known.take ({ "c", 12, false });
    const auto removed = known.removeAllBut ({ "b" }, 10);
    ASSERT_EQ (removed.size(), 1U);
    EXPECT_EQ (removed[0], (EvacuationChange{ "a", 10, true }));
    EXPECT_EQ (known.zones(), (Zones{ "b", "c" }));
}

TEST (ZoneEvacuations, OthersAreToldAlsoOfOrdersThatWereTakenBack)
{
    ZoneEvacuations known;
    known.take ({ "a", 5, false });
    known.take ({ "b", 6, false });
    known.take ({ "a", 8, true });
    const auto changes = known.changesSince (6);
    ASSERT_EQ (changes.size(), 1U);
    EXPECT_EQ (changes[0], (EvacuationChange{ "a", 8, true }));
}

} // namespace
} // namespace copperlead::mesh
