#include "mesh/start_window.h"

#include <algorithm>

namespace copperlead::mesh
{

void StartWindow::setMost (int newMost)
{
    mostStarts = newMost;
    dropOldest();
}

void StartWindow::dropOldest()
{
    while (starts.size() > static_cast<std::size_t> (mostStarts))
        starts.pop_front();
}

void StartWindow::started (Timestamp now)
{
    starts.push_back (now);
    dropOldest();
}

void StartWindow::sent (Timestamp startedAt, Timestamp now)
{
    const auto found = std::find (starts.begin(), starts.end(), startedAt);

    if (found == starts.end())
        return;

    starts.erase (found);
    starts.push_back (now);
}

void StartWindow::assumeStarted (Timestamp when, int count)
{
    const auto before = std::lower_bound (starts.begin(), starts.end(), when);
    starts.insert (before, static_cast<std::size_t> (std::min (count, mostStarts)), when);
    dropOldest();
}

Timestamp StartWindow::earliest (Timestamp now, std::size_t before) const
{
    if (! binds (now))
        return now;

    auto latest = earliestIn (length, mostStarts, now, before);

    if (mostInQuarter > 0)
        latest = std::max (latest, earliestIn (quarterLength, mostInQuarter, now, before));

    return std::min (end, latest);
}

Timestamp StartWindow::earliestIn (Milliseconds window, int most, Timestamp now,
                                   std::size_t before) const
{
    const auto places = static_cast<std::size_t> (most);
    const auto counted = std::min (places, starts.size());
    const auto free = places - counted;

    if (before < free)
        return now;

    // The start that it follows by a whole window, or one that is itself still to come.
    const auto followed = before - free;
    const auto windows = static_cast<int> (1 + followed / places);
    const auto place = followed % places;
    const auto since = place < counted ? starts[starts.size() - counted + place] : now;
    return std::max<Timestamp> (now, since + windows * window);
}

} // namespace copperlead::mesh
