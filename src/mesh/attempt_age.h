/** Estimates how long a client has been trying a request before the current attempt. Makes
    decisions only and does no I/O.

    Each attempt arrives as a separate request that states only how much longer its client waits.
    Most clients of a route use the same timeout, so the longest wait that many requests state is
    that of first attempts, and the amount by which a request states less has been spent on earlier
    attempts. Where the clients use individual timeouts that lie close together
    (RemainingWaitHistogram), a wait below the shortest of these timeouts is that of a later
    attempt. Where neither pattern is found, the age is taken as zero.
*/
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "mesh/remaining_wait_histogram.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class AttemptAges
{
public:
    /** Records the wait that a request states and estimates how long its earlier attempts took.
        @param remainingWait  how much longer the client waits, from `now` on
        @returns zero for a first attempt, or when the observations allow no estimate
    */
    Milliseconds observe (Timestamp now, const std::string& route, Milliseconds remainingWait);

private:
    /** The remaining waits stated on a route during one period. */
    struct ObservationPeriod
    {
        std::int64_t index = -1;
        Milliseconds longest{ 0 };
        std::uint32_t total = 0;
        std::uint32_t countNearLongest = 0;
        RemainingWaitHistogram histogram;

        void add (Milliseconds remainingWait);
    };

    static constexpr std::size_t numPeriods = 2; // The current and the previous period.
    using Periods = std::array<ObservationPeriod, numPeriods>;

    /** The observations of one route. */
    struct History
    {
        Periods periods;
        std::optional<TimeoutRange> firstAttempts; /**< Estimated at `estimatedAt`. */
        Timestamp estimatedAt{};
    };

    static Milliseconds ageBelowRange (Timestamp now, History& history, Milliseconds remainingWait);

    std::unordered_map<std::string, History> byRoute;
};

} // namespace copperlead::mesh
