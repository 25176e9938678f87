#include "mesh/quota_lease.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double rateTimeMs = 1000;           // Over which arrivals are averaged.
constexpr double fewPerSecond = 6;            // Under it a node asks for each request.
constexpr double aheadSeconds = 0.25;         // Far less than a grant lasts, so that little lapses.
constexpr std::uint32_t mostAhead = 64;       // Of one ask, so that a keeper's room isn't hoarded.
constexpr Milliseconds aloneMemory{ 15'000 }; // Clients move between nodes meanwhile.
constexpr double aloneSeconds = 1;            // Of its part a node may save up while it is alone.

} // namespace

void QuotaLease::observe (Timestamp now)
{
    rate = perSecond (now) + 1000 / rateTimeMs;
    ratedAt = now;
}

double QuotaLease::perSecond (Timestamp now) const
{
    return rate * std::exp (-toMilliseconds (now - ratedAt) / rateTimeMs);
}

QuotaStep QuotaLease::take (Timestamp now)
{
    observe (now);

    if (takeGranted (now) == QuotaStep::pass)
        return QuotaStep::pass;

    return now < refusedUntil ? QuotaStep::refuse : QuotaStep::wait;
}

QuotaStep QuotaLease::takeGranted (Timestamp now)
{
    if (! holds (now))
        return QuotaStep::wait;

    --tokens;
    return QuotaStep::pass;
}

QuotaStep QuotaLease::takeAlone (Timestamp now, const Quota& quota, std::size_t nodes)
{
    const auto equal =
        quota.requestsPerSecond / static_cast<double> (std::max<std::size_t> (nodes, 1));
    const bool isKnown = heardAt != Timestamp{} && now - heardAt <= aloneMemory;
    const auto part = isKnown ? std::max (aloneRate, equal) : equal;

    // What it might have saved up before, the keeper granted to it or to others.
    if (! std::exchange (wasAlone, true))
        alone = TokenBucket (now, 0);

    alone.fill (now, part, std::max (part * aloneSeconds, 1.0));
    return alone.take (1) == 1 ? QuotaStep::pass : QuotaStep::refuse;
}

void QuotaLease::giveBack (Timestamp now)
{
    if (now < lapsesAt)
        ++tokens;
}

std::uint32_t QuotaLease::wanted (Timestamp now, std::size_t waiting) const
{
    const auto needed = static_cast<std::uint32_t> (waiting);

    if (now < refusedUntil)
        return needed;

    const auto perSecondNow = perSecond (now);

    if (perSecondNow < fewPerSecond)
        return needed;

    const auto ahead =
        std::min (static_cast<std::uint32_t> (std::ceil (perSecondNow * aheadSeconds)), mostAhead);
    const auto held = holds (now) ? tokens : 0;
    return held > ahead / 2 ? needed : needed + ahead - held;
}

std::uint32_t QuotaLease::takeLapsed (Timestamp now)
{
    return now < lapsesAt ? 0 : std::exchange (tokens, 0);
}

void QuotaLease::granted (Timestamp now, std::uint32_t count, double alonePerSecond)
{
    wasAlone = false;
    aloneRate = alonePerSecond;
    heardAt = now;
    tokens = (holds (now) ? tokens : 0) + count;
    lapsesAt = now + quotaLeaseTime;
}

} // namespace copperlead::mesh
