/** Tracks the latest period in which the source is known to have answered, by this node's own calls
    and by what other nodes of its zone report. Contains no I/O.

    Entries of running instances expire only if the source doesn't answer for a while. A node that
    got no answer for as long may itself have been paused or cut off. Only another node, which was
    answered all the time, can tell that from an outage of the source.
*/
#pragma once

#include <algorithm>

#include "base/time.h"

namespace copperlead::mesh
{

/** A period in which the source has answered without a silence in which entries can expire. */
struct AnswerPeriod
{
    Timestamp since{}, until{}; /**< Times of the first and the last answer. */

    bool isKnown() const { return until != Timestamp{}; }
};

/** Not thread-safe. */
class SourceContinuity
{
public:
    /** @param lapseTimeToUse  duration of a silence in which entries can expire
        @param renewalToUse    interval at which instances renew their entries
        @param settleToUse     time in which expired entries are renewed once the source answers
    */
    SourceContinuity (Milliseconds lapseTimeToUse, Milliseconds renewalToUse,
                      Milliseconds settleToUse)
        : lapseTime (lapseTimeToUse)
        , renewalInterval (renewalToUse)
        , settleTime (settleToUse)
    {
    }

    /** Begins a new period, since entries of running instances are missing although the source has
        answered. Earlier answers, of whichever node, no longer count.
    */
    void restart (Timestamp now)
    {
        restartedAt = now;
        current = { now, now };
    }

    /** Adds a period that this node or another one has observed. It is joined with the known one if
        no silence in which entries can expire lies between them; otherwise the later one is kept.
    */
    void add (AnswerPeriod reported)
    {
        reported.since = std::max (reported.since, restartedAt);

        if (! reported.isKnown() || reported.until < reported.since)
            return;

        const bool isLater = reported.since > current.until;
        const auto& earlier = isLater ? current : reported;
        const auto& later = isLater ? reported : current;

        if (current.isKnown() && later.since - earlier.until < longestSilence (earlier))
            current = { std::min (current.since, reported.since),
                        std::max (current.until, reported.until) };
        else if (isLater)
            current = reported;
    }

    /** @returns true if the source is known to have answered through a time before `end` in which
                 entries would have had to expire
    */
    bool excludesOutageUntil (Timestamp end) const
    {
        const auto lapseStart = end - lapseTime;
        return current.isKnown() && current.since <= lapseStart && current.until > lapseStart;
    }

    const AnswerPeriod& period() const { return current; }

private:
    /** Entries that had yet to be renewed expire when one renewal is missed. */
    Milliseconds longestSilence (const AnswerPeriod& before) const
    {
        return before.until - before.since < settleTime ? renewalInterval : lapseTime;
    }

    Milliseconds lapseTime, renewalInterval, settleTime;
    Timestamp restartedAt{};
    AnswerPeriod current;
};

} // namespace copperlead::mesh
