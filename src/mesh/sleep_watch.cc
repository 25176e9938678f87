#include "mesh/sleep_watch.h"

#include <utility>

namespace copperlead::mesh
{

std::optional<Sleep> SleepWatch::look (Timestamp now, Duration suspendedTime, Duration interval)
{
    const auto before = std::exchange (lookedAt, now);
    const auto suspended = suspendedTime - std::exchange (suspendedBefore, suspendedTime);

    if (before == Timestamp{} || now - before - interval < shortestSleep)
        return std::nullopt;

    return Sleep{ now - before - interval, suspended };
}

} // namespace copperlead::mesh
