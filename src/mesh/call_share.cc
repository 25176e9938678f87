#include "mesh/call_share.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

constexpr double samplingRate = 0.1;   // Remembers some ten samples.
constexpr double leastExpected = 4;    // Idle moments before anything is concluded.
constexpr double mostRemembered = 128; // Idle moments; what came before them counts for half.

} // namespace

void CallShare::sample (bool instanceIsIdle)
{
    idleShare += samplingRate * ((instanceIsIdle ? 1 : 0) - idleShare);
}

void CallShare::observe (const std::string& route, bool instanceIsIdle)
{
    auto& counts = byRoute[route];
    counts.idle += instanceIsIdle ? 1 : 0;
    counts.expectedIdle += idleShare;

    if (counts.expectedIdle > mostRemembered)
        counts = { counts.idle / 2, counts.expectedIdle / 2 };
}

double CallShare::of (const std::string& route) const
{
    const auto found = byRoute.find (route);

    if (found == byRoute.end() || found->second.expectedIdle < leastExpected)
        return 1;

    return std::clamp (1 - found->second.idle / found->second.expectedIdle, 0.0, 1.0);
}

} // namespace copperlead::mesh
