#include "mesh/retry_after.h"

#include <algorithm>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

// These are shares of the time that the client still waits. Clients honour a Retry-After of up to a
// third of it.
constexpr double minShareInOverload = 0.2, maxShareInOverload = 0.33;
constexpr double defaultShare = 0.1;

} // namespace

Milliseconds retryAfter (HopCause cause, Duration remainingWait, double jitter)
{
    const bool overloaded = isOverload (cause) || cause == HopCause::expired;
    const auto share = overloaded
                           ? minShareInOverload + jitter * (maxShareInOverload - minShareInOverload)
                           : defaultShare;
    const auto remainingMs = std::max (toMilliseconds (remainingWait), 0.0);
    return Milliseconds (static_cast<std::int64_t> (remainingMs * share) + 1);
}

} // namespace copperlead::mesh
