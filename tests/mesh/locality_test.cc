#include "mesh/locality.h"

#include <gtest/gtest.h>

#include "mesh/instance_chooser.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

const std::map<std::string, std::string> regions{ { "n1", "north" },
                                                  { "n2", "north" },
                                                  { "s1", "south" } };

TEST (Locality, ZonesRegionsAndTheRest)
{
    const Locality locality ("n1", regions);
    EXPECT_EQ (locality.of ("n1"), Proximity::sameZone);
    EXPECT_EQ (locality.of ("n2"), Proximity::sameRegion);
    EXPECT_EQ (locality.of ("s1"), Proximity::otherRegion);
    EXPECT_EQ (locality.of ("unheard-of"), Proximity::sameRegion);
    EXPECT_TRUE (locality.hasOtherRegions());
    EXPECT_FALSE (Locality ("n1", { { "n1", "north" }, { "n2", "north" } }).hasOtherRegions());
    EXPECT_EQ (Locality ("n1", {}).of ("s1"), Proximity::sameRegion);
}

TEST (Locality, AllowedRegionsHoldAlsoForZonesThatAreNotKnown)
{
    const Locality locality ("n1", regions);
    EXPECT_TRUE (locality.allows ({}, "unheard-of"));
    EXPECT_TRUE (locality.allows ({ "south" }, "s1"));
    EXPECT_FALSE (locality.allows ({ "south" }, "n1"));
    EXPECT_FALSE (locality.allows ({ "south" }, "unheard-of"));
}

/** One instance in each zone. */
class Regions : public ::testing::Test
{
protected:
    Regions()
    {
        directory.setLocality (locality);
        directory.put (at (0), makeInstance ("far", "s1", 3), revision (1));
        directory.put (at (0), makeInstance ("beside", "n1", 1), revision (2));
        directory.put (at (0), makeInstance ("near", "n2", 2), revision (3));
    }

    std::vector<std::string> draw (Proximity proximity)
    {
        std::vector<std::string> ids;

        for (const auto& instance :
             chooser.sample (at (0), *directory.snapshot(), wanted, 3, proximity))
            ids.push_back (instance.id);

        return ids;
    }

    Locality locality{ "n1", regions };
    InstanceDirectory directory;
    InstanceChooser chooser{ { locality }, 1 };
    Route route = makeRoute ("lookup", "/look/");
    Tenant tenant;
    ChoiceRequest wanted{ &route, "desk", 0, {}, &tenant };
};

using Ids = std::vector<std::string>;

TEST_F (Regions, AreDrawnFromOneByOne)
{
    EXPECT_EQ (draw (Proximity::sameZone), Ids{ "beside" });
    EXPECT_EQ (draw (Proximity::sameRegion), Ids{ "near" });
    EXPECT_EQ (draw (Proximity::otherRegion), Ids{ "far" });
}

TEST_F (Regions, ACrossingOfRegionsCostsMoreThanOneOfZones)
{
    const auto near = chooser.crossingMs (makeInstance ("near", "n2", 2), wanted);
    const auto far = chooser.crossingMs (makeInstance ("far", "s1", 3), wanted);
    EXPECT_GT (near, 0);
    EXPECT_NEAR (far, 6 * near, 1e-6);
}

TEST_F (Regions, OnlyAllowedOnesServeARouteOrATenant)
{
    for (auto* allowed : { &route.allowedRegions, &tenant.allowedRegions })
    {
        *allowed = { "south" };
        EXPECT_TRUE (draw (Proximity::sameZone).empty());
        EXPECT_TRUE (draw (Proximity::sameRegion).empty());
        EXPECT_EQ (draw (Proximity::otherRegion), Ids{ "far" });
        Choice choice;
        ASSERT_TRUE (chooser.choose (at (0), *directory.snapshot(), wanted, choice));
        EXPECT_EQ (choice.instance.id, "far");
        *allowed = { "nowhere" };
        EXPECT_FALSE (chooser.choose (at (0), *directory.snapshot(), wanted, choice));
        allowed->clear();
    }
}

} // namespace
} // namespace copperlead::mesh::test
