#include "mesh/attempt_age.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

constexpr Milliseconds periodLength{ 10'000 };

/** Two stated waits that differ by no more than this are taken to come from the same timeout. */
constexpr Milliseconds tolerance{ 20 };

/** The range of client timeouts changes slowly, so it is not recomputed for every request. */
constexpr Milliseconds rangeUpdateInterval{ 250 };

/** The longest wait counts as that of first attempts if at least this share of all attempts states
    it.
*/
constexpr double minShareNearLongest = 0.2;

} // namespace

void AttemptAges::ObservationPeriod::add (Milliseconds remainingWait)
{
    ++total;
    histogram.add (remainingWait);

    if (remainingWait > longest + tolerance)
    {
        longest = remainingWait;
        countNearLongest = 0;
    }

    if (remainingWait + tolerance >= longest)
        ++countNearLongest;
}

Milliseconds AttemptAges::ageBelowRange (Timestamp now, History& history,
                                         Milliseconds remainingWait)
{
    if (history.estimatedAt == Timestamp{} || now - history.estimatedAt >= rangeUpdateInterval)
    {
        history.estimatedAt = now;
        RemainingWaitHistogram combined;

        for (const auto& period : history.periods)
            combined.add (period.histogram);

        history.firstAttempts = combined.findFirstAttempts();
    }

    const auto& firstAttempts = history.firstAttempts;
    return firstAttempts && remainingWait < firstAttempts->shortest
               ? firstAttempts->mean - remainingWait
               : Milliseconds (0);
}

Milliseconds AttemptAges::observe (Timestamp now, const std::string& route,
                                   Milliseconds remainingWait)
{
    auto& history = byRoute[route];
    auto& periods = history.periods;
    const std::int64_t index = now.time_since_epoch() / periodLength;
    auto& current = periods[static_cast<std::size_t> (index) % numPeriods];

    if (current.index != index)
        current = { index, {}, 0, 0, {} };

    current.add (remainingWait);
    Milliseconds longest{ 0 };

    for (const auto& period : periods)
        if (period.index > index - static_cast<std::int64_t> (numPeriods))
            longest = std::max (longest, period.longest);

    std::uint32_t total = 0, countNearOverallLongest = 0;

    for (const auto& period : periods)
    {
        if (period.index <= index - static_cast<std::int64_t> (numPeriods))
            continue;

        total += period.total;
        countNearOverallLongest +=
            period.longest + tolerance >= longest ? period.countNearLongest : 0;
    }

    if (countNearOverallLongest < minShareNearLongest * total)
        return ageBelowRange (now, history, remainingWait);

    const auto age = longest - remainingWait;
    return age > tolerance ? age : Milliseconds (0);
}

} // namespace copperlead::mesh
