#include "mesh/urgent_arrivals.h"

#include <cmath>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

/** The time constant of the decay: as long as several runs, and shorter than a burst. */
constexpr double decayTimeMs = 500;

} // namespace

double UrgentArrivals::DecayingCount::at (Timestamp now) const
{
    return count * std::exp (-toMilliseconds (now - countedAt) / decayTimeMs);
}

void UrgentArrivals::observe (Timestamp now, int priority)
{
    auto& arrivals = byPriority[priority];
    arrivals.count = arrivals.at (now) + 1;
    arrivals.countedAt = now;
}

double UrgentArrivals::higherPriorityRatePerMs (Timestamp now, int priority) const
{
    double sum = 0;

    for (const auto& [other, arrivals] : byPriority)
        sum += other < priority ? arrivals.at (now) : 0;

    return sum / decayTimeMs;
}

} // namespace copperlead::mesh
