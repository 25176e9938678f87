#include "mesh/quota_lease.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

// Time constant of the exponential average of the arrival rate.
constexpr double rateTimeMs = 1000;
// Requests per second below which a node asks for each request instead of in advance.
constexpr double prefetchMinPerSecond = 6;
// Seconds of requests to ask for in advance. This is far less than the lifetime of a grant, so that
// few tokens expire unused.
constexpr double prefetchSeconds = 0.25;
// Most tokens that one quota request asks for in advance, so that a node doesn't hoard the quota.
constexpr std::uint32_t maxPrefetch = 64;
// Part of an equal share that a node passes on if no keeper has assigned it a share lately. It is
// below 1 because the keeper may at the same time grant the whole quota to other nodes.
constexpr double equalShareFactor = 0.5;
// How long an assigned share stays valid. It expires because clients move between nodes.
constexpr Milliseconds assignedShareTime{ 15'000 };
// Seconds of its share that a node accumulates for use without a keeper. This is mostly less than
// one request, and the fraction becomes a token by chance: one token for every node would be too
// many in a large fleet.
constexpr double fallbackBurstSeconds = 0.5;

} // namespace

void QuotaLease::countArrival (Timestamp now)
{
    rate = arrivalRate (now) + 1000 / rateTimeMs;
    rateUpdatedAt = now;
}

double QuotaLease::arrivalRate (Timestamp now) const
{
    return rate * std::exp (-toMilliseconds (now - rateUpdatedAt) / rateTimeMs);
}

QuotaDecision QuotaLease::take (Timestamp now)
{
    countArrival (now);

    if (takeGranted (now) == QuotaDecision::pass)
        return QuotaDecision::pass;

    return now < refusedUntil ? QuotaDecision::refuse : QuotaDecision::wait;
}

QuotaDecision QuotaLease::takeGranted (Timestamp now)
{
    dropExpired (now);

    if (tokens == 0)
        return QuotaDecision::wait;

    const auto first = held.begin();
    latestExpiry = first->first;
    --tokens;

    if (--first->second == 0)
        held.erase (first);

    return QuotaDecision::pass;
}

void QuotaLease::dropExpired (Timestamp now)
{
    while (! held.empty() && held.begin()->first <= now)
    {
        expired += held.begin()->second;
        tokens -= held.begin()->second;
        held.erase (held.begin());
    }
}

double QuotaLease::fallbackShare (Timestamp now, const Quota& quota, std::size_t nodes) const
{
    if (answeredAt != Timestamp{} && now - answeredAt <= assignedShareTime)
        return fallbackRate;

    return equalShareFactor * quota.requestsPerSecond /
           static_cast<double> (std::max<std::size_t> (nodes, 1));
}

QuotaDecision QuotaLease::takeWithoutKeeper (Timestamp now, const Quota& quota, std::size_t nodes,
                                             double chance)
{
    const auto share = fallbackShare (now, quota, nodes);

    if (! fallback)
    {
        const auto idleSeconds = std::chrono::duration<double> (now - lastFallbackAt).count();
        const auto accrued = share * std::min (idleSeconds, fallbackBurstSeconds);
        const auto whole = std::floor (accrued);
        fallback.emplace (now, whole + (chance < accrued - whole ? 1 : 0));
    }

    fallback->refill (now, share, std::max (share * fallbackBurstSeconds, 1.0));
    lastFallbackAt = now;
    return fallback->take (1) == 1 ? QuotaDecision::pass : QuotaDecision::refuse;
}

void QuotaLease::giveBack (Timestamp now, Timestamp expiresAt)
{
    if (now >= expiresAt)
        return;

    ++held[expiresAt];
    ++tokens;
}

std::uint32_t QuotaLease::tokensToRequest (Timestamp now, std::size_t waiting)
{
    dropExpired (now);
    const auto needed = static_cast<std::uint32_t> (waiting);

    if (now < refusedUntil)
        return needed;

    const auto perSecondNow = arrivalRate (now);

    if (perSecondNow < prefetchMinPerSecond)
        return needed;

    const auto prefetch = std::min (
        static_cast<std::uint32_t> (std::ceil (perSecondNow * prefetchSeconds)), maxPrefetch);
    return tokens > prefetch / 2 ? needed : needed + prefetch - tokens;
}

std::uint32_t QuotaLease::takeExpired (Timestamp now)
{
    dropExpired (now);
    return std::exchange (expired, 0);
}

void QuotaLease::addGrant (Timestamp now, std::uint32_t count, double fallbackPerSecond)
{
    // The next call without a keeper starts with a new bucket that holds some tokens already, so
    // that a node that loses a datagram now and then can still pass requests.
    fallback.reset();
    fallbackRate = fallbackPerSecond;
    answeredAt = now;
    held[now + quotaLeaseDuration] += count;
    tokens += count;
}

} // namespace copperlead::mesh
