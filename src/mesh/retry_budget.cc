#include "mesh/retry_budget.h"

#include <algorithm>

namespace copperlead::mesh
{

std::int64_t RetryBudget::indexOf (Timestamp now) const
{
    const auto width = std::chrono::duration_cast<Duration> (settings.window) /
                       static_cast<std::int64_t> (bucketCount);
    return now.time_since_epoch() / std::max (width, Duration (1));
}

RetryBudget::Bucket& RetryBudget::bucketAt (Timestamp now)
{
    const auto index = indexOf (now);
    auto& bucket = buckets[static_cast<std::size_t> (index) % bucketCount];

    if (bucket.index != index)
        bucket = { index, 0, 0 };

    return bucket;
}

void RetryBudget::countRequest (Timestamp now, double inheritedShare)
{
    auto& bucket = bucketAt (now);
    bucket.requests += 1;
    bucket.retries += inheritedShare;
}

double RetryBudget::left (Timestamp now, std::size_t nodes)
{
    const auto oldest = indexOf (now) - static_cast<std::int64_t> (bucketCount) + 1;
    double requests = 0, retries = 0;

    for (const auto& bucket : buckets)
    {
        if (bucket.index < oldest)
            continue;

        requests += bucket.requests;
        retries += bucket.retries;
    }

    const auto slack = settings.slack / static_cast<double> (std::max<std::size_t> (nodes, 1));
    return settings.margin * (settings.ratio * requests + slack) - retries;
}

bool RetryBudget::take (Timestamp now, std::size_t nodes)
{
    if (left (now, nodes) < 1)
        return false;

    bucketAt (now).retries += 1;
    return true;
}

} // namespace copperlead::mesh
