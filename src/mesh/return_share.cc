#include "mesh/return_share.h"

namespace copperlead::mesh
{
namespace
{

/** Clients are expected to retry if at least this share of refusals is followed by a retry. */
constexpr double minRetryShare = 0.25;

} // namespace

void ReturnShare::recordRefusal (const std::string& route) { returnsByRoute[route].add (0, 1); }

void ReturnShare::recordRetry (const std::string& route) { returnsByRoute[route].add (1, 0); }

bool ReturnShare::expectsClientRetry (const std::string& route) const
{
    const auto found = returnsByRoute.find (route);
    const auto share = found == returnsByRoute.end() ? std::nullopt : found->second.value();
    return share.value_or (1) >= minRetryShare;
}

} // namespace copperlead::mesh
