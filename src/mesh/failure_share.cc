#include "mesh/failure_share.h"

#include <cmath>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double learningRate = 0.15; // Some seven runs tell.
constexpr double halfLifeMs = 2000;   // Faults of instances last some seconds.

} // namespace

double FailureShare::at (Timestamp now) const
{
    return share * std::exp2 (-toMilliseconds (now - observedAt) / halfLifeMs);
}

void FailureShare::observe (Timestamp now, bool failed)
{
    share = at (now);
    share += learningRate * ((failed ? 1 : 0) - share);
    observedAt = now;
}

} // namespace copperlead::mesh
