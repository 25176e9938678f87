/** The share of an instance's latest runs that failed: their answers were lost or broken, or were
    failures of its own. An instance that fails at once looks free, and would draw all requests.
    Deciding code without I/O.
*/
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class FailureShare
{
public:
    /** A run ended. */
    void observe (Timestamp now, bool failed);

    /** 0 to 1; falls with time, so that an instance that is left alone is tried again. */
    double at (Timestamp now) const;

private:
    double share = 0;
    Timestamp observedAt{};
};

} // namespace copperlead::mesh
