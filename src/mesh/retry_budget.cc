#include "mesh/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace copperlead::mesh
{
namespace
{

// Three standard deviations of an evenly drawn threshold: for one node, in whole retries.
constexpr double thresholdDoubt = 0.866;

// Claims are foretold for half as long again as they are counted for.
constexpr double forecastLength = 1.5;

// What few requests claim says little of how many will.
constexpr double requestsToBelieve = 8;

Timestamp wholeSlackFromOf (const RetryBudgetSettings& settings, Timestamp startedAt)
{
    return startedAt == Timestamp::min() ? startedAt : startedAt + settings.window;
}

} // namespace

double shareToSpend (const RetryBudgetSettings& settings, std::size_t nodes)
{
    const auto count = static_cast<double> (std::max<std::size_t> (nodes, 1));
    return std::max (settings.leastShare,
                     1 - settings.lastingDoubt - thresholdDoubt / std::sqrt (count));
}

RetryBudget::RetryBudget (const RetryBudgetSettings& settingsToUse, Timestamp startedAt,
                          double thresholdToUse)
    : settings (settingsToUse)
    , wholeSlackFrom (wholeSlackFromOf (settingsToUse, startedAt))
    , threshold (thresholdToUse)
{
}

std::size_t RetryBudget::rankOf (const RetryClaim& claim)
{
    const auto least = static_cast<int> (priorityCount) - 1;
    const auto priority = static_cast<std::size_t> (std::clamp (claim.priority, 0, least));
    return claim.lastChance ? priority : priorityCount + priority;
}

std::int64_t RetryBudget::indexOf (Timestamp now) const
{
    const auto width = std::chrono::duration_cast<Duration> (settings.window) / bucketsInWindow;
    return now.time_since_epoch() / std::max (width, Duration (1));
}

RetryBudget::Bucket& RetryBudget::bucketAt (Timestamp now)
{
    const auto index = indexOf (now);
    auto& bucket = buckets[static_cast<std::size_t> (index) % bucketCount];

    if (bucket.index != index)
        bucket = { index, 0, 0, {} };

    return bucket;
}

void RetryBudget::countRequest (Timestamp now, double inheritedShare)
{
    auto& bucket = bucketAt (now);
    bucket.requests += 1;
    bucket.retries += inheritedShare;
}

double RetryBudget::left (Timestamp now, std::size_t nodes) const
{
    const auto newest = indexOf (now);
    double requests = 0, retries = 0;

    for (const auto& bucket : buckets)
    {
        const auto age = newest - bucket.index;
        requests += age < bucketsInWindow ? bucket.requests : 0;
        retries += age <= bucketsInWindow ? bucket.retries : 0;
    }

    const auto part = partOf (now, requests, nodes);
    return part > 0 ? part + threshold - retries : -retries;
}

double RetryBudget::partOf (Timestamp now, double requests, std::size_t nodes) const
{
    const auto share = shareToSpend (settings, nodes);
    const auto slack = settings.slack / static_cast<double> (std::max<std::size_t> (nodes, 1));
    return share * settings.ratio * requests + (now < wholeSlackFrom ? 1 - share : share) * slack;
}

double RetryBudget::betterClaims (Timestamp now, std::size_t rank) const
{
    const auto newest = indexOf (now);
    double claims = 0;

    for (const auto& bucket : buckets)
        if (newest - bucket.index < bucketsOfReserve)
            claims += std::accumulate (bucket.claims.begin(), bucket.claims.begin() + rank, 0.0);

    return claims;
}

double RetryBudget::claimsToComeBack (Timestamp now) const
{
    const auto newest = indexOf (now);
    double claims = 0, requests = 0;

    for (const auto& bucket : buckets)
    {
        if (newest - bucket.index >= bucketsOfForecast)
            continue;

        claims += std::accumulate (bucket.claims.begin() + priorityCount, bucket.claims.end(), 0.0);
        requests += bucket.requests;
    }

    const auto failingShare = std::min (claims / (requests + requestsToBelieve), 1.0);
    return forecastLength * claims * failingShare;
}

double RetryBudget::reserveBefore (Timestamp now, std::size_t rank) const
{
    const auto better = betterClaims (now, rank);
    return rank < priorityCount ? better : std::max (better, claimsToComeBack (now));
}

bool RetryBudget::take (Timestamp now, std::size_t nodes, const RetryClaim& claim)
{
    const auto rank = rankOf (claim);
    auto& bucket = bucketAt (now);
    ++bucket.claims[rank];

    if (left (now, nodes) < 1 + reserveBefore (now, rank))
        return false;

    bucket.retries += 1;
    return true;
}

} // namespace copperlead::mesh
