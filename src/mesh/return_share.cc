#include "mesh/return_share.h"

namespace copperlead::mesh
{
namespace
{

constexpr double leastRefusals = 4;    // Before anything is concluded.
constexpr double leastShare = 0.25;    // Of refusals, to be followed by a return.
constexpr double mostRemembered = 128; // Refusals; what came before them counts for half.

} // namespace

void ReturnShare::halveOld (Counts& counts)
{
    if (counts.refusals <= mostRemembered)
        return;

    counts.refusals /= 2;
    counts.returns /= 2;
}

void ReturnShare::refused (const std::string& route)
{
    auto& counts = byRoute[route];
    counts.refusals += 1;
    halveOld (counts);
}

void ReturnShare::returned (const std::string& route) { byRoute[route].returns += 1; }

bool ReturnShare::comesBack (const std::string& route) const
{
    const auto found = byRoute.find (route);

    if (found == byRoute.end() || found->second.refusals < leastRefusals)
        return true;

    return found->second.returns >= leastShare * found->second.refusals;
}

} // namespace copperlead::mesh
