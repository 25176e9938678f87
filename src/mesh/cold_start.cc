#include "mesh/cold_start.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

// The rest allows for clock differences. The limit is taken from the failure threshold instead of
// the sustained rate, which is half of it, which raises the value of the requests that are
// served in the worst seconds after a loss of all power.
constexpr double thresholdShare = 0.95;

/** The number of requests per second above which a cold instance fails. */
double failureThreshold (const ColdProfile& profile, const ColdBounds& bounds)
{
    return profile.startsPerSecond * bounds.overloadFactor + bounds.slack;
}

} // namespace

int maxColdStarts (const ColdProfile& profile, const ColdBounds& bounds)
{
    if (profile.coldPeriod.count() <= 0)
        return 0;

    // Such a low rate is taken to be a configuration error.
    if (profile.startsPerSecond < 1)
        return 1;

    return std::max (1, static_cast<int> (thresholdShare * failureThreshold (profile, bounds)));
}

int maxColdStartsPerQuarterSecond (const ColdProfile& profile, const ColdBounds& bounds)
{
    constexpr int quarters = 4;
    return (maxColdStarts (profile, bounds) + quarters - 1) / quarters;
}

int assumedColdStarts (const ColdProfile& profile, const ColdBounds& bounds)
{
    const auto most = maxColdStarts (profile, bounds);
    const auto together = static_cast<int> (failureThreshold (profile, bounds));
    return std::clamp (2 * most - together, 0, most);
}

void ColdStart::presumeCold (Timestamp now)
{
    presumed = true;
    presumedAt = now;
    askedAt = {};
}

void ColdStart::recordEntry (Timestamp learnedAt, Milliseconds remaining)
{
    const auto effective = remaining == unreadableColdTime ? profile.coldPeriod : remaining;
    listedAt = learnedAt;
    listedUntil = effective.count() > 0 ? learnedAt + effective : Timestamp{};
}

void ColdStart::recordAnswer (Timestamp now, std::optional<Milliseconds> remaining)
{
    // The query was sent before the instance was presumed cold, so the answer is out of date.
    if (askedAt < presumedAt)
        return;

    answeredAt = now;

    if (! remaining)
        return;

    presumed = false;
    answeredUntil = now + *remaining;
}

Timestamp ColdStart::until() const
{
    if (profile.coldPeriod.count() <= 0)
        return {};

    auto latest = presumed ? presumedAt + profile.coldPeriod : answeredUntil;

    // An entry that is older than the answer is out of date.
    if (presumed || listedAt > answeredAt)
        latest = std::max<Timestamp> (latest, listedUntil);

    return latest;
}

bool ColdStart::wantsAnswer (Timestamp now) const
{
    const auto lastEvidence = std::max (presumedAt, listedUntil > now ? listedAt : Timestamp{});
    return isCold (now) && answeredAt <= lastEvidence && now - askedAt >= askInterval;
}

} // namespace copperlead::mesh
