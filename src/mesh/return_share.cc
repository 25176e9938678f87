#include "mesh/return_share.h"

namespace copperlead::mesh
{
namespace
{

constexpr double leastShare = 0.25; // Of refusals, to be followed by a return.

} // namespace

void ReturnShare::refused (const std::string& route) { returnsByRoute[route].add (0, 1); }

void ReturnShare::returned (const std::string& route) { returnsByRoute[route].add (1, 0); }

bool ReturnShare::comesBack (const std::string& route) const
{
    const auto found = returnsByRoute.find (route);
    const auto share = found == returnsByRoute.end() ? std::nullopt : found->second.value();
    return share.value_or (1) >= leastShare;
}

} // namespace copperlead::mesh
