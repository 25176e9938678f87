/** Bounds the time for which a datagram may have waited in its socket. A process that was paused or
    not scheduled reads afterwards what has arrived meanwhile, in order, so that outdated datagrams
    look recent. Contains no I/O.
*/
#pragma once

#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class ReceiveDelay
{
public:
    /** Time after a pause within which the waiting datagrams are read. */
    static constexpr Milliseconds backlogTime{ 250 };

    /** Shorter pauses are normal on a machine under load. */
    static constexpr Milliseconds minimumPause{ 500 };

    /** @param intervalToUse  interval at which recordActivity() is called */
    explicit ReceiveDelay (Milliseconds intervalToUse)
        : interval (intervalToUse)
    {
    }

    /** Records that the process is running. */
    void recordActivity (Timestamp now);

    /** @returns the longest time for which a datagram that is read now may have waited; zero if the
                 process wasn't paused
    */
    Duration longest (Timestamp now) const;

private:
    /** @returns the time since the last activity if it shows a pause */
    std::optional<Duration> pauseUntil (Timestamp now) const;

    Milliseconds interval;
    Timestamp lastActivity{}, pauseEnd{};
    Duration pauseDuration{};
};

} // namespace copperlead::mesh
