/** Chooses the Retry-After time of a refused request. Makes decisions only and does no I/O. */
#pragma once

#include "base/time.h"
#include "mesh/hop_header.h"

namespace copperlead::mesh
{

/** Overload lasts for some time, so retries of requests that it refused are spread over the time
    that their clients still wait. A request that was refused because of a single instance can soon
    be retried at another.
    @param cause          why the request was refused
    @param remainingWait  how much longer the client waits
    @param jitter         random number, uniformly distributed over [0, 1)
    @param availableIn    for `instanceLimited`: the time until an instance accepts a request
*/
Milliseconds retryAfter (HopCause cause, Duration remainingWait, double jitter,
                         Duration availableIn = {});

} // namespace copperlead::mesh
