#include "mesh/call_share.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

constexpr double samplingRate = 0.1; // Remembers some ten samples.

} // namespace

void CallShare::sample (bool instanceIsIdle)
{
    idleShare += samplingRate * ((instanceIsIdle ? 1 : 0) - idleShare);
}

void CallShare::observe (const std::string& route, bool instanceIsIdle)
{
    idleByRoute[route].add (instanceIsIdle ? 1 : 0, idleShare);
}

double CallShare::of (const std::string& route) const
{
    const auto found = idleByRoute.find (route);
    const auto idle = found == idleByRoute.end() ? std::nullopt : found->second.value();
    return std::clamp (1 - idle.value_or (0), 0.0, 1.0);
}

} // namespace copperlead::mesh
