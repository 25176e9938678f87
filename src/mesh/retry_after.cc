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

Milliseconds retryAfter (HopCause cause, Duration remainingWait, double jitter,
                         Duration availableIn)
{
    const auto remainingMs = std::max (toMilliseconds (remainingWait), 0.0);

    // The limit says when there is room again; the requests that it refused return spread over the
    // time after that.
    if (cause == HopCause::instanceLimited)
        return fromMillisecondCount (toMilliseconds (availableIn) +
                                     jitter * maxShareInOverload * remainingMs + 1);

    const bool overloaded = isOverload (cause) || cause == HopCause::expired;
    const auto share = overloaded
                           ? minShareInOverload + jitter * (maxShareInOverload - minShareInOverload)
                           : defaultShare;
    return Milliseconds (static_cast<std::int64_t> (remainingMs * share) + 1);
}

} // namespace copperlead::mesh
