#include "mesh/receive_delay.h"

namespace copperlead::mesh
{

std::optional<Duration> ReceiveDelay::pauseUntil (Timestamp now) const
{
    const auto inactive = now - lastActivity;

    if (lastActivity == Timestamp{} || inactive < interval + minimumPause)
        return std::nullopt;

    return inactive;
}

void ReceiveDelay::recordActivity (Timestamp now)
{
    if (const auto pause = pauseUntil (now))
    {
        pauseEnd = now;
        pauseDuration = *pause;
    }

    lastActivity = now;
}

Duration ReceiveDelay::longest (Timestamp now) const
{
    if (const auto pause = pauseUntil (now))
        return *pause;

    const bool mayBeBacklog = pauseEnd != Timestamp{} && now - pauseEnd < backlogTime;
    return mayBeBacklog ? pauseDuration : Duration (0);
}

} // namespace copperlead::mesh
