#include "mesh/instance_directory.h"

#include <algorithm>
#include <set>

namespace copperlead::mesh
{

namespace
{

/** @returns true if a restored source lists an entry older than the known one */
bool predatesKnownEntry (const Instance& listed, SourcePosition position,
                         const ListedInstance& known)
{
    if (position.epoch <= known.position.epoch)
        return false;

    if (listed.startTimeMs != known.instance.startTimeMs && listed.startTimeMs != 0)
        return listed.startTimeMs < known.instance.startTimeMs;

    return position.revision <= known.writtenRevision;
}

/** Swaps the newest instance at an address, of a named service if possible, to `newest`, and sorts
    the others.
*/
void putNewestFirst (ListedInstance& newest, std::vector<ListedInstance>& others)
{
    others.push_back (std::move (newest));
    std::stable_sort (others.begin(), others.end(),
                      [] (const auto& a, const auto& b)
                      {
                          if (a.isNamed != b.isNamed)
                              return a.isNamed;

                          return b.instance.createdAt < a.instance.createdAt;
                      });
    newest = std::move (others.front());
    others.erase (others.begin());
}

} // namespace

void InstanceDirectory::keepAcrossRestore (Timestamp now, ListedInstance& entry,
                                           const Instance& listed, SourcePosition position)
{
    const bool isSameIncarnation =
        listed.startTimeMs == 0 || listed.startTimeMs == entry.instance.startTimeMs;
    entry.position = position;
    current.reset();

    if (entry.state == InstanceState::leaving)
    {
        entry.retainedAt = now;
        return;
    }

    entry.state = isSameIncarnation ? InstanceState::ready : InstanceState::lapsed;

    if (! isSameIncarnation)
    {
        entry.changedAt = now;
        entry.lapseEnd = now + lapsedGracePeriod;
    }
}

bool InstanceDirectory::put (Timestamp now, Instance instance, SourcePosition position)
{
    const auto [found, isNew] = byId.try_emplace (instance.id);
    auto& entry = found->second;

    if (! isNew && entry.position > position)
        return true;

    // Receiving the same entry again must not restore an instance that has lapsed or left since.
    if (! isNew && entry.position == position && entry.state != InstanceState::ready)
        return true;

    if (! isNew && ! instance.draining && predatesKnownEntry (instance, position, entry))
    {
        keepAcrossRestore (now, entry, instance, position);
        return true;
    }

    // An entry that survives a restore keeps its creation position, so that it sorts before entries
    // that were created since.
    if (! isNew && entry.instance.createdAt.revision == instance.createdAt.revision)
        instance.createdAt = std::min (instance.createdAt, entry.instance.createdAt);

    // An incarnation can't start before its predecessor, so an entry with an earlier start time
    // comes from another writer or is corrupt.
    const auto knownStart = entry.instance.startTimeMs;
    const bool startsEarlier = instance.startTimeMs != 0 && instance.startTimeMs < knownStart;
    const bool usable = ! startsEarlier && ! instance.draining;
    entry.state = usable ? InstanceState::ready : InstanceState::leaving;
    entry.instance = std::move (instance);
    entry.instance.startTimeMs = std::max (entry.instance.startTimeMs, knownStart);
    entry.position = position;
    entry.writtenRevision = position.revision;
    entry.retainedAt.reset();
    entry.changedAt = now;
    current.reset();
    return ! startsEarlier;
}

void InstanceDirectory::retain (Timestamp now, Instance instance, SourcePosition position)
{
    auto& entry = byId[instance.id];

    if (entry.position > position ||
        (entry.position == position && entry.state == InstanceState::leaving))
        return;

    entry.instance = std::move (instance);
    entry.state = InstanceState::leaving;
    entry.position = position;
    entry.writtenRevision = std::max (entry.writtenRevision, position.revision);
    entry.retainedAt = now;
    entry.changedAt = now;
    current.reset();
}

void InstanceDirectory::remove (Timestamp now, const std::string& id, SourcePosition position,
                                Milliseconds grace)
{
    const bool leaves = grace <= Milliseconds (0);
    const auto found = byId.find (id);

    if (found == byId.end() || found->second.position > position)
        return;

    auto& entry = found->second;
    entry.retainedAt.reset();

    if (entry.state == InstanceState::leaving)
    {
        // What is written from now on is no earlier entry that a restore has brought back.
        if (entry.position.epoch < position.epoch)
            entry.position = position;

        return;
    }

    if (entry.state == InstanceState::lapsed && ! leaves)
        return;

    entry.state = leaves ? InstanceState::leaving : InstanceState::lapsed;
    entry.position = position;
    entry.changedAt = now;
    entry.lapseEnd = now + grace;
    reportUnlisted (now, entry, UnlistedCause::removed);
    current.reset();
}

void InstanceDirectory::reportUnlisted (Timestamp now, const ListedInstance& entry,
                                        UnlistedCause cause)
{
    const auto lapse = entry.state == InstanceState::lapsed ? entry.lapseEnd - now : Duration (0);
    unlisted.push_back ({ entry.instance.id, entry.state, cause, entry.position, lapse });
}

void InstanceDirectory::removeUnlisted (Timestamp now, const std::vector<std::string>& ids,
                                        SourcePosition position, Milliseconds grace)
{
    const std::set<std::string> kept (ids.begin(), ids.end());

    for (const auto& [id, entry] : byId)
        if (! kept.contains (id))
            remove (now, id, position, grace);
}

std::size_t InstanceDirectory::countUsable() const
{
    return static_cast<std::size_t> (std::count_if (
        byId.begin(), byId.end(),
        [] (const auto& item) { return item.second.state != InstanceState::leaving; }));
}

void InstanceDirectory::setEvacuatedZones (std::set<std::string> zones)
{
    evacuatedZones = std::move (zones);
    current.reset();
}

Timestamp InstanceDirectory::nextLapseEnd() const
{
    auto earliest = Timestamp::max();

    for (const auto& [id, entry] : byId)
        if (entry.state == InstanceState::lapsed)
            earliest = std::min (earliest, entry.lapseEnd);

    return earliest;
}

void InstanceDirectory::advance (Timestamp now, bool sourceAnswers)
{
    for (auto it = byId.begin(); it != byId.end();)
    {
        auto& entry = it->second;
        const auto age = now - entry.changedAt;

        if (entry.state == InstanceState::lapsed && ! sourceAnswers && age <= departedRetention)
            entry.lapseEnd = now + lapsedGracePeriod;

        if (entry.state == InstanceState::lapsed && now >= entry.lapseEnd)
            endLapse (now, entry, UnlistedCause::notBack);

        // An instance that is still listed after this time is in service, unless it announced that
        // it is draining.
        if (entry.retainedAt && ! entry.instance.draining &&
            now - *entry.retainedAt > departedRetention)
        {
            entry.state = InstanceState::ready;
            entry.retainedAt.reset();
            entry.changedAt = now;
            current.reset();
        }

        const bool isForgotten =
            entry.state == InstanceState::leaving && ! entry.retainedAt && age > departedRetention;

        if (isForgotten)
        {
            forgotten = std::max (forgotten, entry.position);
            current.reset();
        }

        it = isForgotten ? byId.erase (it) : std::next (it);
    }
}

void InstanceDirectory::endLapse (Timestamp now, ListedInstance& entry, UnlistedCause cause)
{
    entry.state = InstanceState::leaving;
    entry.changedAt = now;
    reportUnlisted (now, entry, cause);
    current.reset();
}

void InstanceDirectory::endLapses (Timestamp now,
                                   const std::function<bool (Timestamp outageEnd)>& isExcluded)
{
    for (auto& [id, entry] : byId)
        if (entry.state == InstanceState::lapsed && isExcluded (entry.lapseEnd - entryRenewalTime))
            endLapse (now, entry, UnlistedCause::noOutage);
}

bool InstanceDirectory::changesSince (SourcePosition position,
                                      std::vector<ListedInstance>& changes) const
{
    const bool listsAll = position < forgotten;

    for (const auto& [id, entry] : byId)
        if (listsAll || entry.position > position)
            changes.push_back (entry);

    return ! listsAll;
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

bool InstanceDirectory::isNamed (const std::string& service) const
{
    return ! namedServices || namedServices->contains (service);
}

bool InstanceDirectory::setServices (std::set<std::string> services)
{
    if (namedServices == services)
        return false;

    namedServices = std::move (services);
    current.reset();
    return true;
}

std::vector<std::string> InstanceDirectory::takeUnnamed()
{
    std::vector<std::string> found;
    std::set<std::string> unnamed;

    for (const auto& [id, entry] : byId)
    {
        if (entry.state == InstanceState::leaving || isNamed (entry.instance.service))
            continue;

        if (! reportedUnnamed.contains (id))
            found.push_back (id);

        unnamed.insert (id);
    }

    reportedUnnamed = std::move (unnamed);
    return found;
}

DirectoryPointer InstanceDirectory::snapshot()
{
    if (current != nullptr)
        return current;

    auto result = std::make_shared<DirectorySnapshot>();
    std::set<std::string> used;

    for (const auto& [id, entry] : byId)
    {
        const bool named = isNamed (entry.instance.service);

        if (entry.state != InstanceState::leaving)
        {
            used.insert (entry.instance.address.ip);

            if (! evacuatedZones.contains (entry.instance.zone))
            {
                auto& listed = result->byService[entry.instance.service].emplace_back (entry);
                listed.proximity = locality.proximityTo (entry.instance.zone);
                listed.isNamed = named;
            }
        }

        const auto address = ToString (entry.instance.address);
        const auto [first, isFirst] = result->byAddress.try_emplace (address, entry);
        auto& added =
            isFirst ? first->second : result->othersByAddress[address].emplace_back (entry);
        added.isNamed = named;
    }

    for (auto& [address, others] : result->othersByAddress)
        putNewestFirst (result->byAddress[address], others);

    for (auto& [service, listed] : result->byService)
        std::stable_sort (listed.begin(), listed.end(),
                          [] (const auto& a, const auto& b) { return a.proximity < b.proximity; });

    result->nodes = used.size();
    result->evacuatedZones = evacuatedZones;
    current = std::move (result);
    return current;
}

} // namespace copperlead::mesh
