#include "mesh/zone_evacuations.h"

namespace copperlead::mesh
{

void ZoneEvacuations::retain (Timestamp now, ZoneState& state, SourcePosition position)
{
    state.change.position = position;
    state.change.retained = true;
    state.retainedAt = now;
}

bool ZoneEvacuations::relistsEndedEvacuation (const ZoneState& state,
                                              const EvacuationChange& change)
{
    return state.change.over && ! change.over && ! change.retained &&
           state.change.position.epoch < change.position.epoch &&
           change.position.revision <= state.lastOrderRevision;
}

bool ZoneEvacuations::take (Timestamp now, const EvacuationChange& change)
{
    const auto [found, isNew] = byZone.try_emplace (change.zone);
    auto& state = found->second;

    if (! isNew && change.position < state.change.position)
        return false;

    if (! isNew && relistsEndedEvacuation (state, change))
    {
        retain (now, state, change.position);
        return false;
    }

    if (! isNew && state.change.retained && change.position == state.change.position)
        return false;

    const bool wasOver = isNew || state.change.over;
    state.change = change;

    if (change.retained)
        state.retainedAt = now;

    if (! change.over)
        state.lastOrderRevision = change.position.revision;

    return wasOver != change.over;
}

std::vector<EvacuationChange> ZoneEvacuations::removeAllBut (Timestamp now,
                                                             const std::set<std::string>& listed,
                                                             SourcePosition position)
{
    std::vector<EvacuationChange> removed;

    for (auto& [zone, state] : byZone)
    {
        auto& change = state.change;

        if (change.over || change.retained || change.position > position || listed.contains (zone))
            continue;

        if (change.position.epoch < position.epoch)
        {
            retain (now, state, position);
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

    for (auto& [zone, state] : byZone)
    {
        if (! state.change.retained || now - state.retainedAt <= retentionTime)
            continue;

        state.change.retained = false;
        state.change.over = ! state.change.over;
        changed.push_back (state.change);
    }

    return changed;
}

std::vector<EvacuationChange> ZoneEvacuations::changesSince (SourcePosition position) const
{
    std::vector<EvacuationChange> changes;

    for (const auto& [zone, state] : byZone)
        if (state.change.position > position)
            changes.push_back (state.change);

    return changes;
}

std::set<std::string> ZoneEvacuations::zones() const
{
    std::set<std::string> evacuated;

    for (const auto& [zone, state] : byZone)
        if (! state.change.over)
            evacuated.insert (zone);

    return evacuated;
}

} // namespace copperlead::mesh
