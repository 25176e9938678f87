#include "mesh/answer_time.h"

#include <algorithm>
#include <cmath>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

constexpr double smoothing = 0.125, deviationSmoothing = 0.25; // Of RFC 6298, as the next.
constexpr double deviations = 4;
// The way to another region and back takes some 16 ms, and a busy machine of a tenth of a core
// about as long again. More than the longest would cost a request too much of its target.
constexpr double shortestMs = 40, longestMs = 200;
constexpr int mostDoublings = 3;

} // namespace

void AnswerTime::answered (Duration took)
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

void AnswerTime::timedOut() { doublings = std::min (doublings + 1, mostDoublings); }

Duration AnswerTime::current() const
{
    const auto ms = (smoothedMs + deviations * deviationMs) * std::exp2 (doublings);
    return fromMilliseconds (std::clamp (ms, shortestMs, longestMs));
}

} // namespace copperlead::mesh
