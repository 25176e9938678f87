#include "mesh/mesh_state.h"

#include <algorithm>
#include <set>

namespace copperlead::mesh
{
namespace
{

SourceContinuity continuityFor (Milliseconds entryHeartbeat)
{
    FollowerSettings settings;
    settings.entryHeartbeat = entryHeartbeat;
    return { settings.lapseTime(), entryHeartbeat, entryRenewalTime };
}

} // namespace

MeshState::MeshState (Milliseconds entryHeartbeat)
    : continuity (continuityFor (entryHeartbeat))
{
}

UpdateOutcome MeshState::take (Timestamp now, MeshUpdate update)
{
    UpdateOutcome outcome;

    // Only the configuration can still be newer, since its version orders it across epochs.
    if (update.position.epoch < reachedPosition.epoch)
    {
        outcome.listingIgnored = update.complete;

        if (update.configuration)
            outcome.configuration = takeConfiguration (std::move (*update.configuration));

        outcome.instancesChanged = updateServices();
        return outcome;
    }

    // A listing older than the position reached lacks later changes.
    if (update.complete && update.position < reachedPosition)
    {
        outcome.listingIgnored = true;
        return outcome;
    }

    outcome.restored = reachedPosition.isKnown() && update.position.epoch > reachedPosition.epoch;
    outcome.instancesChanged = update.complete || ! update.instances.empty();

    if (outcome.restored)
        continuity.restart (now);

    outcome.staleIncarnations =
        takeInstances (now, update, graceOf (now, update, outcome.restored));
    outcome.evacuations = takeEvacuations (now, update);
    outcome.instancesChanged = outcome.instancesChanged || ! outcome.evacuations.empty();

    if (update.configuration)
        outcome.configuration = takeConfiguration (std::move (*update.configuration));

    outcome.instancesChanged = updateServices() || outcome.instancesChanged;
    reachedPosition = std::max (reachedPosition, update.position);
    hasKnownSource = hasKnownSource || reachedPosition.isKnown();
    return outcome;
}

Milliseconds MeshState::confirmedGrace (Timestamp now, Milliseconds grace) const
{
    const auto outageEnd = now + grace - entryRenewalTime;
    return continuity.excludesOutageUntil (outageEnd) ? Milliseconds (0) : grace;
}

bool MeshState::expiredTogether (const MeshUpdate& update) const
{
    const auto lapsed = std::count_if (update.instances.begin(), update.instances.end(),
                                       [] (const auto& change) {
                                           return change.removed && change.grace &&
                                                  *change.grace > Milliseconds (0);
                                       });
    return expiredTogether (static_cast<std::size_t> (lapsed));
}

bool MeshState::expiredTogether (std::size_t missing) const
{
    // Entries that expire are missing together, whereas instances leave one after the other.
    return missing > 1 && missing * 2 > instances.countUsable();
}

Milliseconds MeshState::graceOf (Timestamp now, const MeshUpdate& update, bool restored)
{
    // A restored source may lack the entries of running instances.
    if (restored)
        return std::max (update.absence.grace, InstanceDirectory::lapsedGracePeriod);

    const auto grace = confirmedGrace (now, update.absence.grace);

    if (grace > Milliseconds (0) || ! update.absence.interrupted)
        return grace;

    const auto removed = static_cast<std::size_t> (
        std::count_if (update.instances.begin(), update.instances.end(),
                       [] (const auto& change) { return change.removed; }));
    const auto usable = instances.countUsable();
    const auto listed = std::min (usable, update.instances.size() - removed);
    const auto missing = update.complete ? usable - listed : removed;

    if (! expiredTogether (missing))
        return Milliseconds (0);

    continuity.restart (now);
    return InstanceDirectory::lapsedGracePeriod;
}

std::vector<std::string> MeshState::takeInstances (Timestamp now, MeshUpdate& update,
                                                   Milliseconds grace)
{
    std::vector<std::string> staleIncarnations, listed;

    if (expiredTogether (update))
        continuity.restart (now);

    for (auto& change : update.instances)
    {
        const auto id = change.instance.id;
        const auto ownGrace = change.grace ? confirmedGrace (now, *change.grace) : grace;

        // A lapsed instance has no entry, but must not be removed below as if it had left.
        if (! change.removed || ownGrace > Milliseconds (0))
            listed.push_back (id);

        if (change.removed)
            instances.remove (now, id, change.position, ownGrace);
        else if (change.retained)
            instances.retain (now, std::move (change.instance), change.position);
        else if (! instances.put (now, std::move (change.instance), change.position))
            staleIncarnations.push_back (id);
    }

    if (update.complete)
    {
        instances.removeUnlisted (now, listed, update.position, grace);
        instances.forgetRemovals (update.position);
    }

    return staleIncarnations;
}

std::vector<EvacuationChange> MeshState::takeEvacuations (Timestamp now, const MeshUpdate& update)
{
    std::vector<EvacuationChange> changed;
    std::set<std::string> listed;

    for (const auto& change : update.evacuations)
    {
        if (evacuations.apply (now, change))
            changed.push_back (change);

        if (! change.ended)
            listed.insert (change.zone);
    }

    if (update.complete)
    {
        const auto removed = evacuations.removeUnlisted (now, listed, update.position);
        changed.insert (changed.end(), removed.begin(), removed.end());
    }

    if (! changed.empty())
        instances.setEvacuatedZones (evacuations.zones());

    return changed;
}

std::vector<EvacuationChange> MeshState::advance (Timestamp now, bool sourceAnswers)
{
    instances.advance (now, sourceAnswers);
    instances.endLapses (now, [this] (Timestamp outageEnd)
                         { return continuity.excludesOutageUntil (outageEnd); });
    auto changed = evacuations.advance (now);

    if (! changed.empty())
        instances.setEvacuatedZones (evacuations.zones());

    return changed;
}

ConfigurationOutcome MeshState::takeConfiguration (ConfigurationChange change)
{
    ConfigurationOutcome outcome;
    outcome.version = change.content.version;
    outcome.before = holder.version();
    outcome.position = change.position;

    const auto& running = holder.routes();
    const auto* base = running == nullptr ? nullptr : &running->configuration();
    const auto taken = Resolve (
        [&]() -> Result<ConfigurationVerdict>
        {
            // An older or equal version needs no base to be recognized.
            if (outcome.version <= outcome.before)
                return outcome.version == outcome.before ? ConfigurationVerdict::same
                                                         : ConfigurationVerdict::older;

            BOOST_LEAF_AUTO (rebuilt, rebuild (base, std::move (change)));
            return holder.take (std::move (rebuilt));
        });

    if (taken)
        outcome.verdict = taken.value();
    else
        outcome.error = taken.error();

    if (outcome.verdict == ConfigurationVerdict::older)
        outcome.error = { ErrorKind::kRevisionBehind, "version",
                          std::to_string (outcome.version) + " is older than the running version" };

    return outcome;
}

bool MeshState::updateServices()
{
    const auto& routes = holder.routes();

    if (routes == nullptr || routes->configuration().version == servicesVersion)
        return false;

    const auto& running = routes->configuration();
    servicesVersion = running.version;
    std::set<std::string> named;

    for (const auto& [name, settings] : running.services)
        named.insert (name);

    return instances.setServices (std::move (named));
}

MeshUpdate MeshState::changesSince (Timestamp now, SourcePosition position,
                                    std::uint64_t version) const
{
    MeshUpdate update;
    std::vector<ListedInstance> changes;
    update.position = reachedPosition;
    update.complete = ! instances.changesSince (position, changes);

    for (const auto& entry : changes)
    {
        // A draining instance still has an entry; one that left or lapsed has none.
        const bool retained = entry.retainedAt.has_value();
        const bool gone =
            entry.state != InstanceState::ready && ! entry.instance.draining && ! retained;

        const bool lapsed = entry.state == InstanceState::lapsed;
        const auto grace =
            lapsed ? std::chrono::ceil<Milliseconds> (entry.lapseEnd - now) : Milliseconds (0);

        if (! update.complete || ! gone || lapsed)
            update.instances.push_back ({ entry.instance, entry.position, gone,
                                          std::max (grace, Milliseconds (0)), retained });
    }

    update.evacuations = evacuations.changesSince (update.complete ? SourcePosition{} : position);
    const auto& routes = holder.routes();

    if (routes == nullptr || routes->configuration().version <= version)
        return update;

    if (const auto base = holder.earlier (version); base != nullptr)
        update.configuration = difference (*base, routes->configuration(), reachedPosition);
    else
        update.configuration =
            ConfigurationChange{ reachedPosition, 0, routes->configuration(), {} };

    return update;
}

} // namespace copperlead::mesh
