#include "mesh/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace copperlead::mesh
{
namespace
{

/** Three standard deviations of a uniformly drawn threshold, in retries, for one node. */
constexpr double roundingMargin = 0.866;

/** The forecast covers a period 1.5 times as long as the one in which claims are counted. */
constexpr double forecastFactor = 1.5;

/** Added to the number of requests, so that a few requests have little effect on the forecast. */
constexpr double priorRequests = 8;

Timestamp fullSlackStart (const RetryBudgetSettings& settings, Timestamp startedAt)
{
    return startedAt == Timestamp::min() ? startedAt : startedAt + settings.window;
}

} // namespace

double spendableShare (const RetryBudgetSettings& settings, std::size_t nodes)
{
    const auto count = static_cast<double> (std::max<std::size_t> (nodes, 1));
    return std::max (settings.minShare,
                     1 - settings.safetyMargin - roundingMargin / std::sqrt (count));
}

RetryBudget::RetryBudget (const RetryBudgetSettings& settingsToUse, Timestamp startedAt,
                          double thresholdToUse)
    : settings (settingsToUse)
    , fullSlackFrom (fullSlackStart (settingsToUse, startedAt))
    , threshold (thresholdToUse)
{
}

std::size_t RetryBudget::rankOf (const RetryClaim& claim)
{
    const auto lowest = static_cast<int> (numPriorities) - 1;
    const auto priority = static_cast<std::size_t> (std::clamp (claim.priority, 0, lowest));
    return claim.noClientRetryExpected ? priority : numPriorities + priority;
}

std::int64_t RetryBudget::indexOf (Timestamp now) const
{
    const auto width = std::chrono::duration_cast<Duration> (settings.window) / numWindowBuckets;
    return now.time_since_epoch() / std::max (width, Duration (1));
}

RetryBudget::Bucket& RetryBudget::bucketAt (Timestamp now)
{
    const auto index = indexOf (now);
    auto& bucket = buckets[static_cast<std::size_t> (index) % numBuckets];

    if (bucket.index != index)
        bucket = { index, 0, 0, {} };

    return bucket;
}

void RetryBudget::countRequest (Timestamp now, double repeatShare)
{
    auto& bucket = bucketAt (now);
    bucket.requests += 1;
    bucket.retries += repeatShare;
}

double RetryBudget::remaining (Timestamp now, std::size_t nodes) const
{
    const auto newest = indexOf (now);
    double requests = 0, retries = 0;

    for (const auto& bucket : buckets)
    {
        const auto age = newest - bucket.index;
        requests += age < numWindowBuckets ? bucket.requests : 0;
        retries += age <= numWindowBuckets ? bucket.retries : 0;
    }

    const auto budget = nodeBudget (now, requests, nodes);
    return budget > 0 ? budget + threshold - retries : -retries;
}

double RetryBudget::nodeBudget (Timestamp now, double requests, std::size_t nodes) const
{
    const auto share = spendableShare (settings, nodes);
    const auto slack = settings.slack / static_cast<double> (std::max<std::size_t> (nodes, 1));
    return share * settings.ratio * requests + (now < fullSlackFrom ? 1 - share : share) * slack;
}

double RetryBudget::recentHigherRankedClaims (Timestamp now, std::size_t rank) const
{
    const auto newest = indexOf (now);
    double claims = 0;

    for (const auto& bucket : buckets)
        if (newest - bucket.index < numReserveBuckets)
            claims += std::accumulate (bucket.claims.begin(), bucket.claims.begin() + rank, 0.0);

    return claims;
}

double RetryBudget::expectedClientRetries (Timestamp now) const
{
    const auto newest = indexOf (now);
    double claims = 0, requests = 0;

    for (const auto& bucket : buckets)
    {
        if (newest - bucket.index >= numForecastBuckets)
            continue;

        claims += std::accumulate (bucket.claims.begin() + numPriorities, bucket.claims.end(), 0.0);
        requests += bucket.requests;
    }

    const auto claimShare = std::min (claims / (requests + priorRequests), 1.0);
    return forecastFactor * claims * claimShare;
}

double RetryBudget::reserveFor (Timestamp now, std::size_t rank) const
{
    const auto higherRanked = recentHigherRankedClaims (now, rank);
    return rank < numPriorities ? higherRanked
                                : std::max (higherRanked, expectedClientRetries (now));
}

bool RetryBudget::trySpend (Timestamp now, std::size_t nodes, const RetryClaim& claim)
{
    const auto rank = rankOf (claim);
    auto& bucket = bucketAt (now);
    ++bucket.claims[rank];

    if (remaining (now, nodes) < 1 + reserveFor (now, rank))
        return false;

    bucket.retries += 1;
    return true;
}

} // namespace copperlead::mesh
