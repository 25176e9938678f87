/** Bounds how many requests are started at an instance within any second, and within any quarter of
    one: those that it can bear while it is cold. Sliding windows, since a bound on average lets
    bursts through. Deciding code without I/O.
*/
#pragma once

#include <cstddef>
#include <deque>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class StartWindow
{
public:
    /** The most starts in one window while the bound holds; 0: there is never a bound. */
    void setMost (int newMost);
    int most() const { return mostStarts; }

    /** The most starts in a quarter of a window; 0: as many as in a whole one. */
    void setMostInQuarter (int newMost) { mostInQuarter = newMost; }

    /** The bound holds until then; what was started before counts, too. */
    void bindUntil (Timestamp newEnd) { end = newEnd; }

    bool binds (Timestamp now) const { return mostStarts > 0 && now < end; }

    /** A request was started, and is taken to be sent at once. */
    void started (Timestamp now);

    /** What was started at `startedAt` was sent only now, over a connection that had to be opened
        first: it counts from now on.
    */
    void sent (Timestamp startedAt, Timestamp now);

    /** Counts as many starts as having been made then, since it isn't known how many were. */
    void assumeStarted (Timestamp when, int count);

    /** The starts so far were at another instance. */
    void forget() { starts.clear(); }

    /** When a request that `before` others are started ahead of may be started at the earliest. */
    Timestamp earliest (Timestamp now, std::size_t before) const;

private:
    /** Keeps `mostStarts` of them. */
    void dropOldest();

    /** As earliest(), for one window that holds `most` starts. */
    Timestamp earliestIn (Milliseconds window, int most, Timestamp now, std::size_t before) const;

    // A second, and what the way to the instance may differ between two requests.
    static constexpr Milliseconds length{ 1010 };
    static constexpr Milliseconds quarterLength{ 253 }; // Rounded up.

    int mostStarts = 0, mostInQuarter = 0;
    Timestamp end{};
    std::deque<Timestamp> starts; /**< The latest, oldest first; `mostStarts` of them. */
};

} // namespace copperlead::mesh
