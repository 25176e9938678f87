/** The part of a fleet-wide retry budget that one node may spend without asking the others.

    The fleet's budget over a sliding window is ratio x requests + slack. A node counts its own
    requests and takes ratio x those, and an equal part of the slack; since the requests of all
    nodes add up to the fleet's, the parts can't add up to more than the whole. A margin covers
    windows that the nodes cut at different moments.

    The calls that an instance makes in a repeated run are repeats at the service that it calls.
    A node can't tell them from others, so it charges the share of repeats among the runs beside it
    to the requests that begin there.
*/
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace copperlead::mesh
{

struct RetryBudgetSettings
{
    double ratio = 0.2;
    double slack = 64;
    Milliseconds window{ 10'000 };
    double margin = 0.6; /**< The share of its part that a node spends. */
};

/** One service's budget at one node. Not thread-safe. */
class RetryBudget
{
public:
    explicit RetryBudget (const RetryBudgetSettings& settingsToUse)
        : settings (settingsToUse)
    {
    }

    /** @param inheritedShare  of the runs beside this node that are repeats, 0 to 1 */
    void countRequest (Timestamp now, double inheritedShare = 0);

    /** Spends one retry if the budget has one.
        @param nodes  how many nodes share the slack
    */
    bool take (Timestamp now, std::size_t nodes);

    /** What is left, for logs and metrics. */
    double left (Timestamp now, std::size_t nodes);

private:
    static constexpr std::size_t bucketCount = 20;

    struct Bucket
    {
        std::int64_t index = -1;
        double requests = 0, retries = 0; /**< Fractions: of what is inherited. */
    };

    Bucket& bucketAt (Timestamp now);
    std::int64_t indexOf (Timestamp now) const;

    RetryBudgetSettings settings;
    std::array<Bucket, bucketCount> buckets{};
};

} // namespace copperlead::mesh
