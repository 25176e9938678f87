#include "mesh/mesh_state.h"

#include <algorithm>

namespace copperlead::mesh
{

UpdateOutcome MeshState::take (Timestamp now, MeshUpdate update)
{
    UpdateOutcome outcome;
    std::vector<std::string> listed;

    // An old listing lacks what came after it.
    if (update.complete && update.at < at)
    {
        outcome.listingIgnored = true;
        return outcome;
    }

    outcome.instancesChanged = update.complete || ! update.instances.empty();

    for (auto& change : update.instances)
    {
        // What only lapsed is listed nowhere, and isn't to be taken for gone below.
        if (! change.gone || ! change.trusted)
            listed.push_back (change.instance.id);

        if (change.gone)
        {
            instances.remove (now, change.instance.id, change.revision, change.trusted);
            continue;
        }

        const auto id = change.instance.id;

        if (! instances.put (now, std::move (change.instance), change.revision))
            outcome.wentBack.push_back (id);
    }

    if (update.complete)
    {
        instances.removeAllBut (now, listed, update.at, update.trusted);
        instances.forgetRemovals (update.at);
    }

    outcome.evacuations = takeEvacuations (update);
    outcome.instancesChanged = outcome.instancesChanged || ! outcome.evacuations.empty();

    if (update.configuration)
        outcome.configuration = takeConfiguration (std::move (*update.configuration));

    at = std::max (at, update.at);
    return outcome;
}

std::vector<EvacuationChange> MeshState::takeEvacuations (const MeshUpdate& update)
{
    std::vector<EvacuationChange> changed;
    std::set<std::string> listed;

    for (const auto& change : update.evacuations)
    {
        if (evacuations.take (change))
            changed.push_back (change);

        if (! change.over)
            listed.insert (change.zone);
    }

    if (update.complete)
    {
        const auto removed = evacuations.removeAllBut (listed, update.at);
        changed.insert (changed.end(), removed.begin(), removed.end());
    }

    if (! changed.empty())
        instances.setEvacuatedZones (evacuations.zones());

    return changed;
}

ConfigurationOutcome MeshState::takeConfiguration (ConfigurationChange change)
{
    ConfigurationOutcome outcome;
    outcome.version = change.content.version;
    outcome.before = holder.version();
    outcome.revision = change.revision;

    const auto& running = holder.routes();
    const auto* base = running == nullptr ? nullptr : &running->configuration();
    const auto taken = Resolve (
        [&]() -> Result<ConfigurationVerdict>
        {
            // An older or equal version needs no base to be recognized.
            if (outcome.version <= outcome.before)
                return outcome.version == outcome.before ? ConfigurationVerdict::same
                                                         : ConfigurationVerdict::older;

            BOOST_LEAF_AUTO (whole, rebuild (base, std::move (change)));
            return holder.take (std::move (whole));
        });

    if (taken)
        outcome.verdict = taken.value();
    else
        outcome.error = taken.error();

    if (outcome.verdict == ConfigurationVerdict::older)
        outcome.error = { ErrorKind::kRevisionBehind, "version",
                          std::to_string (outcome.version) + " is older than the running one" };

    return outcome;
}

MeshUpdate MeshState::changesSince (std::uint64_t revision, std::uint64_t version) const
{
    MeshUpdate update;
    std::vector<ListedInstance> changes;
    update.at = at;
    update.complete = ! instances.changesSince (revision, changes);

    for (const auto& entry : changes)
    {
        // A draining instance is listed as such; one that left or lapsed has no entry any more.
        const bool gone = entry.state != InstanceState::ready && ! entry.instance.draining;

        if (! update.complete || entry.state != InstanceState::leaving || entry.instance.draining)
            update.instances.push_back (
                { entry.instance, entry.revision, gone, entry.state != InstanceState::lapsed });
    }

    update.evacuations = evacuations.changesSince (update.complete ? 0 : revision);
    const auto& routes = holder.routes();

    if (routes == nullptr || routes->configuration().version <= version)
        return update;

    if (const auto base = holder.earlier (version); base != nullptr)
        update.configuration = difference (*base, routes->configuration(), at);
    else
        update.configuration = ConfigurationChange{ at, 0, routes->configuration(), {} };

    return update;
}

} // namespace copperlead::mesh
