/** For how long an instance is avoided after what a request met there, and when a second attempt
    goes beside a slow one. Deciding code without I/O.
*/
#pragma once

#include "base/time.h"
#include "mesh/hop_header.h"
#include "mesh/retry_decision.h"

namespace copperlead::mesh
{

/** Avoided at all costs after its node could not be connected to. */
inline constexpr Milliseconds unreachableAvoidance{ 600 };

/** And after a call to its node was lost. */
inline constexpr Milliseconds lostAvoidance{ 400 };

/** Chosen last after an answer that is far later than usual. */
inline constexpr Milliseconds suspicionTime{ 1000 };

/** Asked last after its node left a load query unanswered: a lost datagram costs it little traffic,
    a node that is frozen or cut off is found out again each second by one query.
*/
inline constexpr Milliseconds silentAvoidance{ 1000 };

/** @returns for how long its node's word is to be heeded; zero: it says nothing against it */
Milliseconds avoidanceFor (HopCause cause);

/** When an attempt without an answer counts as slow.
    @param usualMs     time of a run on this route
    @param expectedMs  by the choice of the instance, waiting included
*/
Duration slowAfter (double usualMs, double expectedMs);

/** Whether a request may run at a second instance beside a slow one.
    @param active  attempts under way
*/
bool mayHedge (const RetryFacts& facts, int active);

} // namespace copperlead::mesh
