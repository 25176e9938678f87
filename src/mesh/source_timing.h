/** Derives all waits between a change at the source and its effect on every node from the shortest
    bound that a promise sets, so that their sum stays below it. Contains no I/O.
*/
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

/** The waits that a change passes, in this order. */
struct SourceTiming
{
    /** The smallest bound for which the waits still exceed the usual time of a call. */
    static constexpr Milliseconds leastBound{ 500 };

    /** The shortest interval at which instances may renew their entries. */
    static constexpr Milliseconds leastEntryHeartbeat{ 400 };

    /** @param bound           within which a change has to be in force on every node, at least
                               leastBound
        @param entryHeartbeat  interval at which instances renew their entries, at least
                               leastEntryHeartbeat
    */
    static SourceTiming within (Milliseconds bound, Milliseconds entryHeartbeat);

    Milliseconds watchInterval;       /**< Minimum time between the starts of two watches. */
    Milliseconds watchWait;           /**< Time for which the source may hold a watch. */
    Milliseconds answerTimeout;       /**< After the wait, a call without an answer has failed. */
    Milliseconds retryDelay;          /**< Longest delay of the first call after a failed one. */
    Milliseconds answerTime;          /**< Time allowed for an answer of a sound source. */
    Milliseconds announcementDelay;   /**< Longest delay of a heartbeat that reports a change. */
    Milliseconds repetitionDelay;     /**< Delay of its repetition, in case it is lost. */
    Milliseconds pullTime;            /**< Time allowed for fetching the change from the reader. */
    Milliseconds pullTimeout;         /**< After which fetching it has failed. */
    Milliseconds heartbeatInterval;   /**< Of a reader without changes. */
    Milliseconds readerTimeout;       /**< After which a silent reader may be replaced. */
    Milliseconds readerTimeoutSpread; /**< Range of the random delay on top of that. */

    /** Longest time until a change is in force although the reader's call fails, in whatever way,
        and its first heartbeat is lost.
    */
    Milliseconds longestDelay() const;

    /** As above if fetching the change fails instead, until the next heartbeat. */
    Milliseconds longestDelayWithFailedPull() const;

    /** As above if the reader ends instead, and one node of its zone is left to replace it. */
    Milliseconds longestDelayWithoutReader() const;

    /** Longest time between two answers of a sound source of which one call fails, or whose reader
        ends. It has to be shorter than the outages in which entries expire.
    */
    Milliseconds longestSilence() const;
};

} // namespace copperlead::mesh
