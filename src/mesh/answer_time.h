/** Calculates how long to wait for an answer before asking again: the smoothed round-trip time
    plus a multiple of its deviation, doubled for each time-out (as in RFC 6298). This is decision
    logic without I/O.
*/
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class AnswerTime
{
public:
    /** Records an answer and the time since its query was last sent. */
    void recordAnswer (Duration took);
    void recordTimeOut();
    Duration current() const;

private:
    double smoothedMs = 0, deviationMs = 0;
    int doublings = 0;
};

} // namespace copperlead::mesh
