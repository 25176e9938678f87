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

    const auto places = static_cast<std::size_t> (mostStarts);
    const auto free = places - std::min (places, starts.size());

    if (before < free)
        return now;

    // The start that it follows by a whole window, or one that is itself still to come.
    const auto followed = before - free;
    const auto windows = static_cast<int> (1 + followed / places);
    const auto place = followed % places;
    const auto since = place < starts.size() ? starts[place] : now;
    return std::min (end, std::max<Timestamp> (now, since + windows * length));
}

} // namespace copperlead::mesh
