/** The share of an instance's recent runs that failed: the answer was lost or malformed, or
    reported a failure of the instance itself. An instance that fails immediately looks free and
    would attract all requests. This is decision logic without I/O.
*/
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class FailureShare
{
public:
    /** Records the end of a run. */
    void observe (Timestamp now, bool failed);

    /** The share, from 0 to 1. It decays with time, so that an instance without requests is tried
        again.
    */
    double at (Timestamp now) const;

private:
    double share = 0;
    Timestamp observedAt{};
};

} // namespace copperlead::mesh
