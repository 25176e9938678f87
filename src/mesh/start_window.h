/** Limits the requests started at a cold instance within any second and any quarter of a second.
    It uses sliding windows, since a limit on the average rate would let bursts through. Performs no
    I/O.
*/
#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace copperlead::mesh
{

/** A sliding-window limit on request starts. Not thread-safe. */
class StartWindow
{
public:
    /** Sets the maximum number of starts per window while the limit is enforced; 0 disables it. */
    void setLimit (int newMost);
    int limit() const { return maxStarts; }

    /** Sets the maximum number of starts per quarter window; 0 means that only the limit of the
        whole window applies.
    */
    void setQuarterLimit (int newMost) { maxStartsInQuarter = newMost; }

    /** Enforces the limit until `newEnd`. Starts before this call count as well. */
    void enforceUntil (Timestamp newEnd) { end = newEnd; }

    bool isEnforced (Timestamp now) const { return maxStarts > 0 && now < end; }

    /** Records the start of a request, which is assumed to be sent immediately. */
    void recordStart (Timestamp now);

    /** Moves the start at `startedAt` to `now`, since the request was sent only after its
        connection had been opened.
    */
    void postponeStart (Timestamp startedAt, Timestamp now);

    /** Records `count` starts at `when`, as an estimate when the actual number is unknown. */
    void assumeStarts (Timestamp when, int count);

    /** Removes all recorded starts, for use when they belong to another instance. */
    void clear() { starts.clear(); }

    /** The earliest time at which a request may start that has `before` requests ahead of it. */
    Timestamp earliestStart (Timestamp now, std::size_t before) const;

private:
    /** Limits the recorded starts to the latest `maxStarts`. */
    void dropOldest();

    /** The earliest start that a single window with a limit of `most` starts allows. */
    Timestamp earliestInWindow (Milliseconds window, int most, Timestamp now,
                                std::size_t before) const;

    // One second plus an allowance for the variation in latency to the instance.
    static constexpr Milliseconds windowLength{ 1010 };
    static constexpr Milliseconds quarterWindowLength{ 253 }; // Rounded up.

    int maxStarts = 0, maxStartsInQuarter = 0;
    Timestamp end{};
    std::deque<Timestamp> starts; /**< The latest starts, oldest first; at most `maxStarts`. */
};

} // namespace copperlead::mesh
