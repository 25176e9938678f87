/** The steps of a graceful shutdown, by the time since its signal. Makes decisions only and does no
    I/O.
*/
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

/** What applies at one moment of a shutdown. */
struct StopStep
{
    bool stopListening = false; /**< The platform no longer sends new clients here. */
    bool stopAccepting = false; /**< A request that arrives now could not finish in time. */
    bool end = false;           /**< No work or no time is left. */
};

/** The schedule of a graceful shutdown. */
class StopPlan
{
public:
    /** @param grace  time from the signal until the process is killed */
    StopPlan (Timestamp signalledAt, Milliseconds grace);

    /** @param idle  whether no request is in flight and no client is connected */
    StopStep at (Timestamp now, bool idle) const;

    /** The time by which the last answers must have been sent off. */
    Timestamp answerDeadline() const { return endsAt - answerMargin; }

    /** Returns true if a request that starts now can be expected to end by answerDeadline(). One
       that couldn't would be cut off while its instance works. As long as the platform sends new
       clients here, they have no other node, and a usual run has to fit. Later ones can go
       elsewhere, so their requests have to fit also if they take longer than usual.
    */
    bool mayStart (Timestamp now, Duration usualRun) const;

    Duration since (Timestamp now) const { return now - start; }

private:
    /** Time after which the platform has stopped sending new clients. */
    static constexpr Milliseconds drainNoticeTime{ 3000 };

    /** The process ends by itself this long before it would be killed. */
    static constexpr Milliseconds killMargin{ 300 };

    /** Time reserved for writing the last answers. */
    static constexpr Milliseconds answerMargin{ 150 };

    /** Time reserved for the requests that are accepted last. */
    static constexpr Milliseconds lastRequestTime{ 1200 };

    Timestamp start, endsAt;
};

} // namespace copperlead::mesh
