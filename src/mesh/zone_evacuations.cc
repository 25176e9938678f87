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
    return state.change.ended && ! change.ended && ! change.retained &&
           state.change.position.epoch < change.position.epoch &&
           change.position.revision <= state.lastOrderRevision;
}

bool ZoneEvacuations::apply (Timestamp now, const EvacuationChange& change)
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

    const bool wasOver = isNew || state.change.ended;
    state.change = change;

    if (change.retained)
        state.retainedAt = now;

    if (! change.ended)
        state.lastOrderRevision = change.position.revision;

    return wasOver != change.ended;
}

std::vector<EvacuationChange> ZoneEvacuations::removeUnlisted (Timestamp now,
                                                               const std::set<std::string>& listed,
                                                               SourcePosition position)
{
    std::vector<EvacuationChange> removed;

    for (auto& [zone, state] : byZone)
    {
        auto& change = state.change;

        if (change.position > position || listed.contains (zone))
            continue;

        // Without the order, the source agrees that the evacuation has ended.
        if (change.ended)
        {
            change.position = position;
            change.retained = false;
            continue;
        }

        if (change.retained)
            continue;

        if (change.position.epoch < position.epoch)
        {
            retain (now, state, position);
            continue;
        }

        change.ended = true;
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
        state.change.ended = ! state.change.ended;
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
        if (! state.change.ended)
            evacuated.insert (zone);

    return evacuated;
}

} // namespace copperlead::mesh
