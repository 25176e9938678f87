/** How long to wait for an answer before asking again: a smoothed way there and back with room for
   its spread, doubled at each answer that doesn't come (as in RFC 6298). Deciding code without I/O.
*/
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class AnswerTime
{
public:
    /** An answer came, that long after its question was sent for the last time. */
    void answered (Duration took);
    void timedOut();
    Duration current() const;

private:
    double smoothedMs = 0, deviationMs = 0;
    int doublings = 0;
};

} // namespace copperlead::mesh
