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

TEST (Locality, ProximityOfZones)
{
    const Locality locality ("n1", regions);
    EXPECT_EQ (locality.proximityTo ("n1"), Proximity::sameZone);
    EXPECT_EQ (locality.proximityTo ("n2"), Proximity::sameRegion);
    EXPECT_EQ (locality.proximityTo ("s1"), Proximity::otherRegion);
    EXPECT_EQ (locality.proximityTo ("unknown"), Proximity::sameRegion);
    EXPECT_TRUE (locality.hasOtherRegions());
    EXPECT_FALSE (Locality ("n1", { { "n1", "north" }, { "n2", "north" } }).hasOtherRegions());
    EXPECT_EQ (Locality ("n1", {}).proximityTo ("s1"), Proximity::sameRegion);
}

TEST (Locality, AllowedRegionsExcludeUnknownZones)
{
    const Locality locality ("n1", regions);
    EXPECT_TRUE (locality.allows ({}, "unknown"));
    EXPECT_TRUE (locality.allows ({ "south" }, "s1"));
    EXPECT_FALSE (locality.allows ({ "south" }, "n1"));
    EXPECT_FALSE (locality.allows ({ "south" }, "unknown"));
}

/** A directory with one instance in each zone. */
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

    std::vector<std::string> sampleIds (Proximity proximity)
    {
        std::vector<std::string> ids;

        for (const auto& instance :
             chooser.sample (at (0), *directory.snapshot(), request, 3, proximity))
            ids.push_back (instance.id);

        return ids;
    }

    Locality locality{ "n1", regions };
    InstanceDirectory directory;
    InstanceChooser chooser{ { locality }, 1 };
    Route route = makeRoute ("lookup", "/look/");
    Tenant tenant;
    ChoiceRequest request{ &route, "desk", 0, {}, &tenant };
};

using Ids = std::vector<std::string>;

TEST_F (Regions, AreSampledByProximity)
{
    EXPECT_EQ (sampleIds (Proximity::sameZone), Ids{ "beside" });
    EXPECT_EQ (sampleIds (Proximity::sameRegion), Ids{ "near" });
    EXPECT_EQ (sampleIds (Proximity::otherRegion), Ids{ "far" });
}

TEST_F (Regions, CrossingRegionsCostsMoreThanCrossingZones)
{
    const auto near = chooser.crossingMs (makeInstance ("near", "n2", 2), request);
    const auto far = chooser.crossingMs (makeInstance ("far", "s1", 3), request);
    EXPECT_GT (near, 0);
    EXPECT_NEAR (far, 6 * near, 1e-6);
}

TEST_F (Regions, OnlyAllowedRegionsServeARouteOrTenant)
{
    for (auto* allowed : { &route.allowedRegions, &tenant.allowedRegions })
    {
        *allowed = { "south" };
        EXPECT_TRUE (sampleIds (Proximity::sameZone).empty());
        EXPECT_TRUE (sampleIds (Proximity::sameRegion).empty());
        EXPECT_EQ (sampleIds (Proximity::otherRegion), Ids{ "far" });
        Choice choice;
        ASSERT_TRUE (chooser.choose (at (0), *directory.snapshot(), request, choice));
        EXPECT_EQ (choice.instance.id, "far");
        *allowed = { "nowhere" };
        EXPECT_FALSE (chooser.choose (at (0), *directory.snapshot(), request, choice));
        allowed->clear();
    }
}

} // namespace
} // namespace copperlead::mesh::test
