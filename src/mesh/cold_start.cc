#include "mesh/cold_start.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

// The rest is for what clocks may differ. Against what an instance bears for long, half of that,
// the share of worth earned in the worst seconds of a day with a loss of all power rose from 0.39
// to 0.44.
constexpr double ceilingShare = 0.95;

/** Requests in a second that an instance doesn't fall over for. */
double ceilingOf (const ColdProfile& profile, const ColdBounds& bounds)
{
    return profile.startsPerSecond * bounds.over + bounds.slack;
}

} // namespace

int mostColdStarts (const ColdProfile& profile, const ColdBounds& bounds)
{
    if (profile.longest.count() <= 0)
        return 0;

    // A rate that can't be meant.
    if (profile.startsPerSecond < 1)
        return 1;

    return std::max (1, static_cast<int> (ceilingShare * ceilingOf (profile, bounds)));
}

int mostColdStartsInQuarter (const ColdProfile& profile, const ColdBounds& bounds)
{
    constexpr int quarters = 4;
    return (mostColdStarts (profile, bounds) + quarters - 1) / quarters;
}

int unknownColdStarts (const ColdProfile& profile, const ColdBounds& bounds)
{
    const auto most = mostColdStarts (profile, bounds);
    const auto together = static_cast<int> (ceilingOf (profile, bounds));
    return std::clamp (2 * most - together, 0, most);
}

void ColdStart::presumeCold (Timestamp now)
{
    presumed = true;
    presumedAt = now;
    askedAt = {};
}

void ColdStart::listed (Timestamp learnedAt, Milliseconds remaining)
{
    const auto believed = remaining == unreadableColdTime ? profile.longest : remaining;
    listedAt = learnedAt;
    listedUntil = believed.count() > 0 ? learnedAt + believed : Timestamp{};
}

void ColdStart::answered (Timestamp now, std::optional<Milliseconds> remaining)
{
    // The question was asked of what was there before.
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
    if (profile.longest.count() <= 0)
        return {};

    auto latest = presumed ? presumedAt + profile.longest : answeredUntil;

    // An entry from before the answer is no news.
    if (presumed || listedAt > answeredAt)
        latest = std::max<Timestamp> (latest, listedUntil);

    return latest;
}

bool ColdStart::wantsAnswer (Timestamp now) const
{
    const auto lastNews = std::max (presumedAt, listedUntil > now ? listedAt : Timestamp{});
    return isCold (now) && answeredAt <= lastNews && now - askedAt >= askInterval;
}

} // namespace copperlead::mesh
