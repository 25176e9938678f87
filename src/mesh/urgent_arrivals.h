/** Tracks how often requests of each priority arrived recently. A waiting request is also delayed
    by more urgent ones that have yet to arrive. Makes decisions only and does no I/O.
*/
#pragma once

#include <map>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class UrgentArrivals
{
public:
    /** Records that a request arrived. */
    void observe (Timestamp now, int priority);

    /** The arrivals per millisecond of requests that are more urgent than those of `priority`. */
    double higherPriorityRatePerMs (Timestamp now, int priority) const;

private:
    /** Exponentially decaying count of the arrivals of one priority. */
    struct DecayingCount
    {
        double count = 0;
        Timestamp countedAt{};

        double at (Timestamp now) const;
    };

    std::map<int, DecayingCount> byPriority;
};

} // namespace copperlead::mesh
