/** How often requests of each priority came lately: what is less urgent waits behind those that are
    still to come, too. Deciding code without I/O.
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
    /** A request came. */
    void observe (Timestamp now, int priority);

    /** Of requests that are more urgent than those of `priority`, in a millisecond. */
    double perMs (Timestamp now, int priority) const;

private:
    /** Of one priority. Older arrivals count less. */
    struct Fading
    {
        double count = 0;
        Timestamp countedAt{};

        double at (Timestamp now) const;
    };

    std::map<int, Fading> byPriority;
};

} // namespace copperlead::mesh
