/** How far zones are from this node's: requests stay near as long as there is room near. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace copperlead::mesh
{

/** The nearest first. */
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

    /** @param ownZone        of this node
        @param regionsByZone  zones that are missing count as in this node's region
    */
    Locality (std::string ownZone, std::map<std::string, std::string> regionsByZone);

    Proximity of (const std::string& otherZone) const;

    /** @returns the zone's region; empty when it isn't known */
    const std::string& regionOf (const std::string& ofZone) const;

    /** Whether requests may be served in a zone.
        @param allowedRegions  empty: everywhere; a zone whose region isn't known is in none
    */
    bool allows (const std::vector<std::string>& allowedRegions, const std::string& inZone) const;

    bool hasOtherRegions() const { return several; }

private:
    std::string zone;
    std::map<std::string, std::string> regions;
    bool several = false;
};

} // namespace copperlead::mesh
