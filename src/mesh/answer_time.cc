#include "mesh/answer_time.h"

#include <algorithm>
#include <cmath>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

// These three values are those of RFC 6298.
constexpr double smoothing = 0.125, deviationSmoothing = 0.25;
constexpr double deviations = 4;
// A round trip to another region takes about 16 ms, and a busy machine with a tenth of a core adds
// about as much again. A longer wait than the maximum would use up too much of a request's target.
constexpr double minMs = 40, maxMs = 200;
constexpr int maxDoublings = 3;

} // namespace

void AnswerTime::recordAnswer (Duration took)
{
    const auto ms = toMilliseconds (took);
    doublings = 0;

    if (smoothedMs <= 0)
    {
        smoothedMs = ms;
        deviationMs = ms / 2;
        return;
    }

    deviationMs += deviationSmoothing * (std::abs (ms - smoothedMs) - deviationMs);
    smoothedMs += smoothing * (ms - smoothedMs);
}

void AnswerTime::recordTimeOut() { doublings = std::min (doublings + 1, maxDoublings); }

Duration AnswerTime::current() const
{
    const auto ms = (smoothedMs + deviations * deviationMs) * std::exp2 (doublings);
    return fromMilliseconds (std::clamp (ms, minMs, maxMs));
}

} // namespace copperlead::mesh
