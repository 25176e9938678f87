#include "mesh/instance_rate_limit.h"

#include <algorithm>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

/** The bucket holds the tokens of this time, and at least one. */
constexpr double burstSeconds = 0.25;

/** Bounds the delays of very low limits, which have to stay representable as times. */
constexpr Milliseconds longestDelay{ 3'600'000 };

} // namespace

bool InstanceRateLimit::set (Timestamp now, std::optional<double> newLimit, LimitOrigin newOrigin)
{
    from = newOrigin;
    trialAllowed = false;

    if (limit == newLimit)
        return false;

    if (limit)
        bucket.refill (now, *limit, capacity());
    else
        bucket = TokenBucket (now, 0);

    limit = newLimit;
    return true;
}

bool InstanceRateLimit::recordAnswer (Timestamp at, std::optional<double> requestsPerSecond)
{
    if (at < answeredAt)
        return false;

    answeredAt = confirmedAt = at;
    return set (at, requestsPerSecond, LimitOrigin::answer);
}

bool InstanceRateLimit::recordHealthAnswer (Timestamp at, std::optional<double> requestsPerSecond)
{
    if (at < answeredAt)
        return false;

    if (! requestsPerSecond)
    {
        trialAllowed = limit.has_value();
        return false;
    }

    answeredAt = confirmedAt = at;
    return set (at, requestsPerSecond, LimitOrigin::healthAnswer);
}

bool InstanceRateLimit::adopt (Timestamp now, double requestsPerSecond)
{
    if (answeredAt != Timestamp{} || (limit && *limit <= requestsPerSecond))
        return false;

    return set (now, requestsPerSecond, LimitOrigin::otherNode);
}

double InstanceRateLimit::capacity() const
{
    return std::max (1.0, burstSeconds * limit.value_or (0));
}

double InstanceRateLimit::levelAt (Timestamp now) const
{
    auto filled = bucket;
    filled.refill (now, limit.value_or (0), capacity());
    return filled.level();
}

Timestamp InstanceRateLimit::earliestStart (Timestamp now, std::size_t before) const
{
    if (! limit)
        return now;

    const auto missing = static_cast<double> (before) + 1 - levelAt (now) - (trialAllowed ? 1 : 0);

    if (missing <= 0)
        return now;

    const auto longest = toMilliseconds (longestDelay);
    const auto delay = *limit > 0 ? std::min (1000 * missing / *limit, longest) : longest;
    return now + fromMilliseconds (delay);
}

Duration InstanceRateLimit::retryDelay (Timestamp now, std::size_t before) const
{
    if (limit && *limit <= 0)
        return confirmationInterval;

    return earliestStart (now, before) - now;
}

void InstanceRateLimit::recordStart (Timestamp now)
{
    if (! limit)
        return;

    trialAllowed = false;
    bucket.refill (now, *limit, capacity());
    bucket.spend (1);
}

void InstanceRateLimit::cancelStart()
{
    if (limit)
        bucket.giveBack (1, capacity());
}

bool InstanceRateLimit::wantsProbe (Timestamp now) const
{
    return limit && now - std::max (confirmedAt, probedAt) >= confirmationInterval;
}

} // namespace copperlead::mesh
