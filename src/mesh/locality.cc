#include "mesh/locality.h"

#include <algorithm>

namespace copperlead::mesh
{

Locality::Locality (std::string ownZone, std::map<std::string, std::string> regionsByZone)
    : zone (std::move (ownZone))
    , regions (std::move (regionsByZone))
{
    hasSeveralRegions = std::any_of (
        regions.begin(), regions.end(),
        [this] (const auto& item) { return proximityTo (item.first) == Proximity::otherRegion; });
}

const std::string& Locality::regionOf (const std::string& ofZone) const
{
    static const std::string unknown;
    const auto found = regions.find (ofZone);
    return found == regions.end() ? unknown : found->second;
}

Proximity Locality::proximityTo (const std::string& otherZone) const
{
    if (otherZone == zone)
        return Proximity::sameZone;

    const auto& own = regionOf (zone);
    const auto& other = regionOf (otherZone);
    return own.empty() || other.empty() || own == other ? Proximity::sameRegion
                                                        : Proximity::otherRegion;
}

bool Locality::allows (const std::vector<std::string>& allowedRegions,
                       const std::string& inZone) const
{
    return allowedRegions.empty() || std::find (allowedRegions.begin(), allowedRegions.end(),
                                                regionOf (inZone)) != allowedRegions.end();
}

} // namespace copperlead::mesh
