/** Derives the timeouts of a route's clients, counted from their first attempt, from the remaining
    waits that all their attempts state. Makes decisions only and does no I/O.

    Each client has its own timeout, and the timeouts of a route lie close together. A retry states
    less, by the time already spent, and few waits fall in between. So the first attempts form the
    topmost cluster of the histogram, which ends where the counts drop below it.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** The remaining waits that first attempts state. */
struct TimeoutRange
{
    Milliseconds shortest{};
    Milliseconds mean{};
};

/** Histogram of the remaining waits stated on a route. Not thread-safe. */
class RemainingWaitHistogram
{
public:
    void add (Milliseconds remainingWait);
    void add (const RemainingWaitHistogram& other);

    /** Estimates the timeouts of first attempts.
        @returns nothing while too few waits have been counted, or when no cluster stands out
    */
    std::optional<TimeoutRange> findFirstAttempts() const;

    std::uint32_t total() const { return count; }

private:
    double smoothedCount (int bin) const;
    int highestBinBelowOutliers() const;
    std::optional<int> lowestClusterBin (int top) const;

    std::map<int, std::uint32_t> bins; /**< Counts by the logarithm of the wait. */
    std::uint32_t count = 0;
};

} // namespace copperlead::mesh
