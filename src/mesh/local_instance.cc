#include "mesh/local_instance.h"

#include <algorithm>
#include <utility>

namespace copperlead::mesh
{

LocalInstance::LocalInstance (std::string configuredService)
    : configured (configuredService)
    , currentService (std::move (configuredService))
{
}

void LocalInstance::setConfiguredService (std::string service)
{
    if (service == configured)
        return;

    configured = std::move (service);

    if (source == IdentitySource::spoken)
        currentService = configured;
}

bool LocalInstance::takeEntry (const ListedInstance* entry)
{
    if (entry == nullptr)
        return false;

    const auto& listed = entry->instance;
    // What the instance says of itself is newer than any entry but one that was created since.
    const bool older =
        source == IdentitySource::spoken && listed.id != currentId && listed.createdAt <= createdAt;

    if (older)
        return false;

    const bool reborn = listed.id == currentId && born != 0 && listed.born > born;
    const bool changed = listed.id != currentId || reborn;

    if (changed)
        isLost = false;

    born = changed ? listed.born : std::max (born, listed.born);

    currentId = listed.id;
    currentService = listed.service;
    source = IdentitySource::entry;
    createdAt = std::max (createdAt, listed.createdAt);
    slotCount = std::max (listed.slots, 1);
    isLeaving = entry->state == InstanceState::leaving;
    return changed;
}

bool LocalInstance::heard (const std::string& spokenId)
{
    if (spokenId.empty() || spokenId == currentId)
        return false;

    currentId = spokenId;
    born = 0;
    currentService = configured;
    source = IdentitySource::spoken;
    isLeaving = false;
    return true;
}

bool LocalInstance::failed (Timestamp now, bool refusedConnection)
{
    ++silentCalls;

    if (isLost || (! refusedConnection && silentCalls < silentCallsUntilLost))
        return false;

    isLost = true;
    lostAt = now;
    return true;
}

bool LocalInstance::answered (Timestamp)
{
    silentCalls = 0;
    return std::exchange (isLost, false);
}

bool LocalInstance::wantsProbe (Timestamp now) const
{
    return (isLost || ! known()) && now - probedAt >= probeInterval;
}

} // namespace copperlead::mesh
