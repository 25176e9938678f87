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

    if (source == IdentitySource::selfReported)
        currentService = configured;
}

bool LocalInstance::isUsable (const ListedInstance& entry) const
{
    return entry.instance.service == configured && entry.state == InstanceState::ready;
}

const ListedInstance* LocalInstance::chooseEntry (const std::vector<const ListedInstance*>& entries)
{
    const ListedInstance *newest = nullptr, *reported = nullptr, *usable = nullptr;
    isDoubtful = false;

    for (const auto* entry : entries)
    {
        const auto& listed = entry->instance;

        if (! entry->isNamed && listed.service != configured)
            continue;

        if (newest == nullptr)
            newest = entry;

        if (usable == nullptr && isUsable (*entry))
            usable = entry;

        if (listed.id == reportedId)
            reported = entry;
    }

    if (newest == nullptr)
        return nullptr;

    latestCreation = std::max (latestCreation, newest->instance.createdAt);

    if (reported != nullptr && newest->instance.createdAt <= reportedSince)
        return reported;

    isDoubtful = newest != reported && ! isUsable (*newest) && usable != nullptr;
    return isDoubtful ? usable : newest;
}

bool LocalInstance::updateFromEntry (const ListedInstance* entry)
{
    if (entry == nullptr)
        return false;

    const auto& listed = entry->instance;
    // An id that the instance reported itself is newer than any entry that wasn't created since.
    const bool older = source == IdentitySource::selfReported && listed.id != currentId &&
                       listed.createdAt <= createdAt;

    if (older)
        return false;

    const bool restarted =
        listed.id == currentId && incarnationStart != 0 && listed.startTimeMs > incarnationStart;
    const bool changed = listed.id != currentId || restarted;

    if (changed)
        isLost = hasStatedLeaving = false;

    incarnationStart =
        changed ? listed.startTimeMs : std::max (incarnationStart, listed.startTimeMs);

    currentId = listed.id;
    currentService = listed.service;
    source = IdentitySource::entry;
    createdAt = std::max (createdAt, listed.createdAt);
    slotCount = std::max (listed.slots, 1);
    isLeaving = entry->state == InstanceState::leaving;
    return changed;
}

bool LocalInstance::recordReportedId (const std::string& id)
{
    if (id.empty())
        return false;

    reportedId = id;
    reportedSince = latestCreation;
    isDoubtful = false;

    if (id == currentId)
        return false;

    currentId = id;
    incarnationStart = 0;
    currentService = configured;
    source = IdentitySource::selfReported;
    isLeaving = hasStatedLeaving = false;
    return true;
}

bool LocalInstance::recordFailure (Timestamp now, bool refusedConnection)
{
    ++unansweredCalls;

    if (isLost || (! refusedConnection && unansweredCalls < unansweredCallsUntilLost))
        return false;

    isLost = true;
    lostAt = now;
    return true;
}

bool LocalInstance::recordAnswer (Timestamp)
{
    unansweredCalls = 0;
    return std::exchange (isLost, false);
}

bool LocalInstance::wantsProbe (Timestamp now) const
{
    const auto interval = isLost || ! known() ? probeInterval : doubtProbeInterval;
    return (isLost || ! known() || isDoubtful) && now - probedAt >= interval;
}

} // namespace copperlead::mesh
