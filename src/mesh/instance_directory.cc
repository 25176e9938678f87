#include "mesh/instance_directory.h"

#include <algorithm>
#include <set>

namespace copperlead::mesh
{

bool InstanceDirectory::put (Timestamp now, Instance instance, std::uint64_t revision)
{
    auto& entry = byId[instance.id];

    if (entry.revision > revision)
        return true;

    // Nobody starts before the one that he follows: another writer's entry, or one that is spoilt.
    const auto knownBorn = entry.instance.born;
    const bool goesBack = instance.born != 0 && instance.born < knownBorn;
    const bool usable = ! goesBack && ! instance.draining;
    entry.state = usable ? InstanceState::ready : InstanceState::leaving;
    entry.instance = std::move (instance);
    entry.instance.born = std::max (entry.instance.born, knownBorn);
    entry.revision = revision;
    entry.changedAt = now;
    current.reset();
    return ! goesBack;
}

void InstanceDirectory::remove (Timestamp now, const std::string& id, std::uint64_t revision,
                                bool trusted)
{
    const auto found = byId.find (id);

    if (found == byId.end() || found->second.revision > revision)
        return;

    auto& entry = found->second;

    if (entry.state == InstanceState::leaving ||
        (entry.state == InstanceState::lapsed && ! trusted))
        return;

    entry.state = trusted ? InstanceState::leaving : InstanceState::lapsed;
    entry.revision = revision;
    entry.changedAt = now;
    current.reset();
}

void InstanceDirectory::removeAllBut (Timestamp now, const std::vector<std::string>& ids,
                                      std::uint64_t revision, bool trusted)
{
    const std::set<std::string> kept (ids.begin(), ids.end());

    for (const auto& [id, entry] : byId)
        if (! kept.contains (id))
            remove (now, id, revision, trusted);
}

void InstanceDirectory::setEvacuatedZones (std::set<std::string> zones)
{
    evacuatedZones = std::move (zones);
    current.reset();
}

void InstanceDirectory::advance (Timestamp now)
{
    for (auto it = byId.begin(); it != byId.end();)
    {
        auto& entry = it->second;
        const auto age = now - entry.changedAt;

        if (entry.state == InstanceState::lapsed && age > lapseTime)
        {
            entry.state = InstanceState::leaving;
            entry.changedAt = now;
            current.reset();
        }

        const bool isForgotten = entry.state == InstanceState::leaving && age > memoryTime;

        if (isForgotten)
        {
            forgotten = std::max (forgotten, entry.revision);
            current.reset();
        }

        it = isForgotten ? byId.erase (it) : std::next (it);
    }
}

bool InstanceDirectory::changesSince (std::uint64_t revision,
                                      std::vector<ListedInstance>& changes) const
{
    const bool whole = revision < forgotten;

    for (const auto& [id, entry] : byId)
        if (whole || entry.revision > revision)
            changes.push_back (entry);

    return ! whole;
}

ProximityRange rangeOf (const std::vector<ListedInstance>& instances, Proximity proximity)
{
    const auto nearer = [] (const ListedInstance& listed, Proximity wanted)
    { return listed.proximity < wanted; };
    const auto farther = [] (Proximity wanted, const ListedInstance& listed)
    { return wanted < listed.proximity; };
    const auto first = std::lower_bound (instances.begin(), instances.end(), proximity, nearer);
    const auto last = std::upper_bound (first, instances.end(), proximity, farther);
    return { static_cast<std::size_t> (first - instances.begin()),
             static_cast<std::size_t> (last - instances.begin()) };
}

void InstanceDirectory::setLocality (Locality newLocality)
{
    locality = std::move (newLocality);
    current.reset();
}

DirectoryPointer InstanceDirectory::snapshot()
{
    if (current != nullptr)
        return current;

    auto made = std::make_shared<DirectorySnapshot>();
    std::set<std::string> used;

    for (const auto& [id, entry] : byId)
    {
        if (entry.state != InstanceState::leaving)
        {
            used.insert (entry.instance.address.ip);

            if (! evacuatedZones.contains (entry.instance.zone))
            {
                auto& listed = made->byService[entry.instance.service].emplace_back (entry);
                listed.proximity = locality.of (entry.instance.zone);
            }
        }

        auto& newest = made->byAddress[ToString (entry.instance.address)];

        if (newest.instance.id.empty() || newest.instance.createdAt < entry.instance.createdAt)
            newest = entry;
    }

    for (auto& [service, listed] : made->byService)
        std::stable_sort (listed.begin(), listed.end(),
                          [] (const auto& a, const auto& b) { return a.proximity < b.proximity; });

    made->nodes = used.size();
    made->evacuatedZones = evacuatedZones;
    current = std::move (made);
    return current;
}

} // namespace copperlead::mesh
