/** Proximity of zones to this node's zone. Requests are served nearby as long as there is capacity
    nearby.
*/
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace copperlead::mesh
{

/** Ordered from nearest to farthest. */
enum class Proximity : std::uint8_t
{
    sameZone,
    sameRegion,
    otherRegion
};

/** The zones of a mesh and their regions, as one node sees them. Immutable. */
class Locality
{
public:
    Locality() = default;

    /** @param ownZone        zone of this node
        @param regionsByZone  region of each zone; missing zones count as in this node's region
    */
    Locality (std::string ownZone, std::map<std::string, std::string> regionsByZone);

    Proximity proximityTo (const std::string& otherZone) const;

    /** @returns the zone's region, or an empty string when it isn't known */
    const std::string& regionOf (const std::string& ofZone) const;

    /** Whether requests may be served in a zone.
        @param allowedRegions  empty allows all zones; otherwise a zone with an unknown region isn't
                               allowed
    */
    bool allows (const std::vector<std::string>& allowedRegions, const std::string& inZone) const;

    bool hasOtherRegions() const { return hasSeveralRegions; }

private:
    std::string zone;
    std::map<std::string, std::string> regions;
    bool hasSeveralRegions = false;
};

} // namespace copperlead::mesh
