#include "mesh/urgent_arrivals.h"

#include <cmath>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double memoryMs = 500; // Several runs; a burst lasts longer.

} // namespace

double UrgentArrivals::Fading::at (Timestamp now) const
{
    return count * std::exp (-toMilliseconds (now - countedAt) / memoryMs);
}

void UrgentArrivals::observe (Timestamp now, int priority)
{
    auto& arrivals = byPriority[priority];
    arrivals.count = arrivals.at (now) + 1;
    arrivals.countedAt = now;
}

double UrgentArrivals::perMs (Timestamp now, int priority) const
{
    double sum = 0;

    for (const auto& [other, arrivals] : byPriority)
        sum += other < priority ? arrivals.at (now) : 0;

    return sum / memoryMs;
}

} // namespace copperlead::mesh
