#include "mesh/call_share.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

/** Weight of a new sample in the moving average, which spans about ten samples. */
constexpr double smoothingFactor = 0.1;

} // namespace

void CallShare::sample (bool instanceIsIdle)
{
    idleTimeShare += smoothingFactor * ((instanceIsIdle ? 1 : 0) - idleTimeShare);
}

void CallShare::observe (const std::string& route, bool instanceIsIdle)
{
    idleByRoute[route].add (instanceIsIdle ? 1 : 0, idleTimeShare);
}

double CallShare::shareOfCalls (const std::string& route) const
{
    const auto found = idleByRoute.find (route);
    const auto requestsWhileIdle =
        found == idleByRoute.end() ? std::nullopt : found->second.value();
    return std::clamp (1 - requestsWhileIdle.value_or (0), 0.0, 1.0);
}

} // namespace copperlead::mesh
