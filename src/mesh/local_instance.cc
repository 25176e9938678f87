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

bool LocalInstance::recordReportedId (const std::string& reportedId)
{
    if (reportedId.empty() || reportedId == currentId)
        return false;

    currentId = reportedId;
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
    return (isLost || ! known()) && now - probedAt >= probeInterval;
}

} // namespace copperlead::mesh
