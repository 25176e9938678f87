#include "mesh/sleep_watch.h"

#include <utility>

namespace copperlead::mesh
{

std::optional<Sleep> SleepWatch::check (Timestamp now, Duration suspendedTime, Duration interval)
{
    const auto before = std::exchange (previousCheck, now);
    const auto suspended = suspendedTime - std::exchange (previousSuspendedTime, suspendedTime);

    if (before == Timestamp{} || now - before - interval < minimumSleep)
        return std::nullopt;

    return Sleep{ now - before - interval, suspended };
}

} // namespace copperlead::mesh
