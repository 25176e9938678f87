#include "mesh/zone_evacuations.h"

namespace copperlead::mesh
{

bool ZoneEvacuations::take (const EvacuationChange& change)
{
    const auto [known, isNew] = byZone.try_emplace (change.zone, change);

    if (isNew)
        return ! change.over;

    if (change.revision < known->second.revision)
        return false;

    const bool changed = known->second.over != change.over;
    known->second = change;
    return changed;
}

std::vector<EvacuationChange> ZoneEvacuations::removeAllBut (const std::set<std::string>& listed,
                                                             std::uint64_t revision)
{
    std::vector<EvacuationChange> removed;

    for (auto& [zone, known] : byZone)
    {
        if (known.over || known.revision > revision || listed.contains (zone))
            continue;

        known.over = true;
        known.revision = revision;
        removed.push_back (known);
    }

    return removed;
}

std::vector<EvacuationChange> ZoneEvacuations::changesSince (std::uint64_t revision) const
{
    std::vector<EvacuationChange> changes;

    for (const auto& [zone, known] : byZone)
        if (known.revision > revision)
            changes.push_back (known);

    return changes;
}

std::set<std::string> ZoneEvacuations::zones() const
{
    std::set<std::string> evacuated;

    for (const auto& [zone, known] : byZone)
        if (! known.over)
            evacuated.insert (zone);

    return evacuated;
}

} // namespace copperlead::mesh
