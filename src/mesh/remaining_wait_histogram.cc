#include "mesh/remaining_wait_histogram.h"

#include <algorithm>
#include <cmath>

namespace copperlead::mesh
{
namespace
{

/** The logarithmic width of a bin: its upper edge is 2 % above that of the bin below it. */
const double binWidth = std::log (1.02);

/** With fewer waits the lower end of a cluster can't be told. */
constexpr std::uint32_t minCount = 60;

/** The share of the longest waits that is ignored, since other kinds of clients state them. */
constexpr double outlierShare = 0.01;

/** The peak of the cluster is searched among this many bins, from the top down. */
constexpr int peakSearchBins = 6;

/** The smoothed count per bin that the peak needs. With less, gaps arise by chance. */
constexpr double minPeakCount = 4;

/** The cluster ends where the smoothed count falls under this share of that at its peak. */
constexpr double clusterEndShare = 0.3;

/** The number of bins below the top one beyond which a cluster is too wide to be taken for one. */
constexpr int maxClusterBins = 25;

/** The smallest share of all waits that has to lie in the cluster. */
constexpr double minClusterShare = 0.2;

int binOf (Milliseconds remainingWait)
{
    const auto ms = std::max<double> (static_cast<double> (remainingWait.count()), 1);
    return static_cast<int> (std::floor (std::log (ms) / binWidth));
}

Milliseconds lowerEdgeOf (int bin)
{
    return Milliseconds (static_cast<std::int64_t> (std::floor (std::exp (bin * binWidth))));
}

} // namespace

void RemainingWaitHistogram::add (Milliseconds remainingWait)
{
    ++bins[binOf (remainingWait)];
    ++count;
}

void RemainingWaitHistogram::add (const RemainingWaitHistogram& other)
{
    for (const auto& [bin, more] : other.bins)
        bins[bin] += more;

    count += other.count;
}

double RemainingWaitHistogram::smoothedCount (int bin) const
{
    double sum = 0;

    for (auto it = bins.lower_bound (bin - 1); it != bins.end() && it->first <= bin + 1; ++it)
        sum += it->second;

    return sum / 3;
}

int RemainingWaitHistogram::highestBinBelowOutliers() const
{
    const auto outliers = outlierShare * count;
    double above = 0;

    for (auto it = bins.rbegin(); it != bins.rend(); ++it)
    {
        above += it->second;

        if (above > outliers)
            return it->first;
    }

    return 0;
}

std::optional<int> RemainingWaitHistogram::lowestClusterBin (int top) const
{
    int peak = top;

    for (int bin = top; bin > top - peakSearchBins; --bin)
        peak = smoothedCount (bin) > smoothedCount (peak) ? bin : peak;

    if (smoothedCount (peak) < minPeakCount)
        return std::nullopt;

    int bin = peak;

    while (smoothedCount (bin - 1) >= clusterEndShare * smoothedCount (peak))
        if (--bin < top - maxClusterBins)
            return std::nullopt;

    return bin;
}

std::optional<TimeoutRange> RemainingWaitHistogram::findFirstAttempts() const
{
    if (count < minCount)
        return std::nullopt;

    const auto lowest = lowestClusterBin (highestBinBelowOutliers());

    if (! lowest)
        return std::nullopt;

    double members = 0, sum = 0;

    for (auto it = bins.lower_bound (*lowest); it != bins.end(); ++it)
    {
        members += it->second;
        sum += it->second * std::exp ((it->first + 0.5) * binWidth);
    }

    if (members < minClusterShare * count)
        return std::nullopt;

    return TimeoutRange{ lowerEdgeOf (*lowest),
                         Milliseconds (static_cast<std::int64_t> (sum / members)) };
}

} // namespace copperlead::mesh
