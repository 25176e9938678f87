#include "mesh/failure_share.h"

#include <cmath>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double learningRate = 0.15; // About the last seven runs dominate the share.
constexpr double halfLifeMs = 2000;   // Instance faults last for some seconds.

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
