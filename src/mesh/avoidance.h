/** Decides for how long an instance is avoided after a failed request, and when a slow attempt is
    hedged by a second one. This is decision logic without I/O.
*/
#pragma once

#include "base/time.h"
#include "mesh/hop_header.h"
#include "mesh/retry_decision.h"

namespace copperlead::mesh
{

/** How long an instance gets no requests after a connection to its node failed. */
inline constexpr Milliseconds unreachableAvoidance{ 600 };

/** How long an instance gets no requests after a call to its node was lost. */
inline constexpr Milliseconds lostAvoidance{ 400 };

/** How long an instance is chosen last after an attempt took much longer than usual. */
inline constexpr Milliseconds suspicionTime{ 1000 };

/** How long an instance is asked last after its node left a load query unanswered. A lost datagram
    thus costs the instance little traffic, and a node that is frozen or cut off is detected again
    by one query per second.
*/
inline constexpr Milliseconds unansweredQueryAvoidance{ 1000 };

/** @returns for how long an instance is avoided after its node gave this cause, or zero if the
    cause is no reason to avoid it
*/
Milliseconds avoidanceFor (HopCause cause);

/** The time after which an unanswered attempt counts as slow.
    @param usualMs     the usual run time of the route
    @param expectedMs  the time expected when the instance was chosen, including queueing
*/
Duration slowAfter (double usualMs, double expectedMs);

/** @returns true if a request may also be sent to a second instance while a slow attempt is running
    @param active  number of attempts in flight
*/
bool mayHedge (const RetryFacts& facts, int active);

} // namespace copperlead::mesh
