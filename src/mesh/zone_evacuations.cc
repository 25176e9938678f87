#include "mesh/zone_evacuations.h"

namespace copperlead::mesh
{

void ZoneEvacuations::retain (Timestamp now, Known& known, SourcePosition position)
{
    known.change.position = position;
    known.change.retained = true;
    known.retainedAt = now;
}

bool ZoneEvacuations::relistsEndedEvacuation (const Known& known, const EvacuationChange& change)
{
    return known.change.over && ! change.over && ! change.retained &&
           known.change.position.epoch < change.position.epoch &&
           change.position.revision <= known.orderRevision;
}

bool ZoneEvacuations::take (Timestamp now, const EvacuationChange& change)
{
    const auto [found, isNew] = byZone.try_emplace (change.zone);
    auto& known = found->second;

    if (! isNew && change.position < known.change.position)
        return false;

    if (! isNew && relistsEndedEvacuation (known, change))
    {
        retain (now, known, change.position);
        return false;
    }

    if (! isNew && known.change.retained && change.position == known.change.position)
        return false;

    const bool wasOver = isNew || known.change.over;
    known.change = change;

    if (change.retained)
        known.retainedAt = now;

    if (! change.over)
        known.orderRevision = change.position.revision;

    return wasOver != change.over;
}

std::vector<EvacuationChange> ZoneEvacuations::removeAllBut (Timestamp now,
                                                             const std::set<std::string>& listed,
                                                             SourcePosition position)
{
    std::vector<EvacuationChange> removed;

    for (auto& [zone, known] : byZone)
    {
        auto& change = known.change;

        if (change.over || change.retained || change.position > position || listed.contains (zone))
            continue;

        if (change.position.epoch < position.epoch)
        {
            retain (now, known, position);
            continue;
        }

        change.over = true;
        change.position = position;
        removed.push_back (change);
    }

    return removed;
}

std::vector<EvacuationChange> ZoneEvacuations::advance (Timestamp now)
{
    std::vector<EvacuationChange> changed;

    for (auto& [zone, known] : byZone)
    {
        if (! known.change.retained || now - known.retainedAt <= retentionTime)
            continue;

        known.change.retained = false;
        known.change.over = ! known.change.over;
        changed.push_back (known.change);
    }

    return changed;
}

std::vector<EvacuationChange> ZoneEvacuations::changesSince (SourcePosition position) const
{
    std::vector<EvacuationChange> changes;

    for (const auto& [zone, known] : byZone)
        if (known.change.position > position)
            changes.push_back (known.change);

    return changes;
}

std::set<std::string> ZoneEvacuations::zones() const
{
    std::set<std::string> evacuated;

    for (const auto& [zone, known] : byZone)
        if (! known.change.over)
            evacuated.insert (zone);

    return evacuated;
}

} // namespace copperlead::mesh
