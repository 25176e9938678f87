#include "mesh/patience_band.h"

#include <algorithm>
#include <cmath>

namespace copperlead::mesh
{
namespace
{

const double binWidth = std::log (1.02); // Each bin reaches 2 % farther than the one below it.
constexpr std::uint32_t leastCount = 60; // Fewer don't show where a heap ends.
constexpr double outlierShare = 0.01;    // Above the heap: announcements of other kinds of clients.
constexpr int peakBins = 6;              // From the top, among which the heap is at its highest.
constexpr double leastPeak = 4;          // Announcements a bin there, else chance makes the gaps.
constexpr double endShare = 0.3;         // Of the peak, under which the heap ends.
constexpr int widestHeap = 25;           // Bins: a wider one is no heap.
constexpr double leastShare = 0.2;       // Of all announcements, in the heap.

int binOf (Milliseconds announced)
{
    const auto ms = std::max<double> (static_cast<double> (announced.count()), 1);
    return static_cast<int> (std::floor (std::log (ms) / binWidth));
}

Milliseconds lowerEdgeOf (int bin)
{
    return Milliseconds (static_cast<std::int64_t> (std::floor (std::exp (bin * binWidth))));
}

} // namespace

void PatienceBand::add (Milliseconds announced)
{
    ++bins[binOf (announced)];
    ++count;
}

void PatienceBand::add (const PatienceBand& other)
{
    for (const auto& [bin, more] : other.bins)
        bins[bin] += more;

    count += other.count;
}

double PatienceBand::smoothed (int bin) const
{
    double sum = 0;

    for (auto it = bins.lower_bound (bin - 1); it != bins.end() && it->first <= bin + 1; ++it)
        sum += it->second;

    return sum / 3;
}

int PatienceBand::topBin() const
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

std::optional<int> PatienceBand::lowestBin (int top) const
{
    int peak = top;

    for (int bin = top; bin > top - peakBins; --bin)
        peak = smoothed (bin) > smoothed (peak) ? bin : peak;

    if (smoothed (peak) < leastPeak)
        return std::nullopt;

    int bin = peak;

    while (smoothed (bin - 1) >= endShare * smoothed (peak))
        if (--bin < top - widestHeap)
            return std::nullopt;

    return bin;
}

std::optional<Patience> PatienceBand::find() const
{
    if (count < leastCount)
        return std::nullopt;

    const auto lowest = lowestBin (topBin());

    if (! lowest)
        return std::nullopt;

    double members = 0, sum = 0;

    for (auto it = bins.lower_bound (*lowest); it != bins.end(); ++it)
    {
        members += it->second;
        sum += it->second * std::exp ((it->first + 0.5) * binWidth);
    }

    if (members < leastShare * count)
        return std::nullopt;

    return Patience{ lowerEdgeOf (*lowest),
                     Milliseconds (static_cast<std::int64_t> (sum / members)) };
}

} // namespace copperlead::mesh
