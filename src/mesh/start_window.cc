#include "mesh/start_window.h"

#include <algorithm>

namespace copperlead::mesh
{

void StartWindow::setLimit (int newMost)
{
    maxStarts = newMost;
    dropOldest();
}

void StartWindow::dropOldest()
{
    while (starts.size() > static_cast<std::size_t> (maxStarts))
        starts.pop_front();
}

void StartWindow::recordStart (Timestamp now)
{
    starts.push_back (now);
    dropOldest();
}

void StartWindow::postponeStart (Timestamp startedAt, Timestamp now)
{
    const auto found = std::find (starts.begin(), starts.end(), startedAt);

    if (found == starts.end())
        return;

    starts.erase (found);
    starts.push_back (now);
}

void StartWindow::assumeStarts (Timestamp when, int count)
{
    const auto before = std::lower_bound (starts.begin(), starts.end(), when);
    starts.insert (before, static_cast<std::size_t> (std::min (count, maxStarts)), when);
    dropOldest();
}

Timestamp StartWindow::earliestStart (Timestamp now, std::size_t before) const
{
    if (! isEnforced (now))
        return now;

    auto allowedAt = earliestInWindow (windowLength, maxStarts, now, before);

    if (maxStartsInQuarter > 0)
        allowedAt = std::max (
            allowedAt, earliestInWindow (quarterWindowLength, maxStartsInQuarter, now, before));

    return std::min (end, allowedAt);
}

Timestamp StartWindow::earliestInWindow (Milliseconds window, int most, Timestamp now,
                                         std::size_t before) const
{
    const auto places = static_cast<std::size_t> (most);
    const auto counted = std::min (places, starts.size());
    const auto free = places - counted;

    if (before < free)
        return now;

    // The request follows the start at this place by one or more whole windows. That start is
    // either a recorded one or one of the requests ahead, which can start now.
    const auto excess = before - free;
    const auto windows = static_cast<int> (1 + excess / places);
    const auto place = excess % places;
    const auto precedingStart = place < counted ? starts[starts.size() - counted + place] : now;
    return std::max<Timestamp> (now, precedingStart + windows * window);
}

} // namespace copperlead::mesh
