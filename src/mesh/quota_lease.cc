#include "mesh/quota_lease.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double rateTimeMs = 1000;     // Over which arrivals are averaged.
constexpr double fewPerSecond = 6;      // Under it a node asks for each request.
constexpr double aheadSeconds = 0.25;   // Far less than a grant lasts, so that little lapses.
constexpr std::uint32_t mostAhead = 64; // Of one ask, so that a keeper's room isn't hoarded.
constexpr double equalShare = 0.5; // Of an equal part: the keeper may well grant all to others.
constexpr Milliseconds aloneMemory{ 15'000 }; // Clients move between nodes meanwhile.
// Of its part a node saves up for when it is alone. What it saves is mostly less than one request,
// so it gets one by chance: one for each node would be too many in a large fleet.
constexpr double aloneSeconds = 0.5;

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
    dropLapsed (now);

    if (tokens == 0)
        return QuotaStep::wait;

    const auto first = held.begin();
    latestLapse = first->first;
    --tokens;

    if (--first->second == 0)
        held.erase (first);

    return QuotaStep::pass;
}

void QuotaLease::dropLapsed (Timestamp now)
{
    while (! held.empty() && held.begin()->first <= now)
    {
        lapsed += held.begin()->second;
        tokens -= held.begin()->second;
        held.erase (held.begin());
    }
}

double QuotaLease::alonePart (Timestamp now, const Quota& quota, std::size_t nodes) const
{
    if (heardAt != Timestamp{} && now - heardAt <= aloneMemory)
        return aloneRate;

    return equalShare * quota.requestsPerSecond /
           static_cast<double> (std::max<std::size_t> (nodes, 1));
}

QuotaStep QuotaLease::takeAlone (Timestamp now, const Quota& quota, std::size_t nodes,
                                 double chance)
{
    const auto part = alonePart (now, quota, nodes);

    if (! alone)
    {
        const auto since = std::chrono::duration<double> (now - lastAlone).count();
        const auto saved = part * std::min (since, aloneSeconds);
        const auto whole = std::floor (saved);
        alone.emplace (now, whole + (chance < saved - whole ? 1 : 0));
    }

    alone->fill (now, part, std::max (part * aloneSeconds, 1.0));
    lastAlone = now;
    return alone->take (1) == 1 ? QuotaStep::pass : QuotaStep::refuse;
}

void QuotaLease::giveBack (Timestamp now, Timestamp lapsesAt)
{
    if (now >= lapsesAt)
        return;

    ++held[lapsesAt];
    ++tokens;
}

std::uint32_t QuotaLease::wanted (Timestamp now, std::size_t waiting)
{
    dropLapsed (now);
    const auto needed = static_cast<std::uint32_t> (waiting);

    if (now < refusedUntil)
        return needed;

    const auto perSecondNow = perSecond (now);

    if (perSecondNow < fewPerSecond)
        return needed;

    const auto ahead =
        std::min (static_cast<std::uint32_t> (std::ceil (perSecondNow * aheadSeconds)), mostAhead);
    return tokens > ahead / 2 ? needed : needed + ahead - tokens;
}

std::uint32_t QuotaLease::takeLapsed (Timestamp now)
{
    dropLapsed (now);
    return std::exchange (lapsed, 0);
}

void QuotaLease::granted (Timestamp now, std::uint32_t count, double alonePerSecond)
{
    // So that a node whose datagrams are lost now and then has something for these moments.
    alone.reset();
    aloneRate = alonePerSecond;
    heardAt = now;
    held[now + quotaLeaseTime] += count;
    tokens += count;
}

} // namespace copperlead::mesh
