/** For how long a client has been at a request before this attempt of it. Deciding code without
    I/O.

    Each attempt of a client comes as a request of its own and tells only how long the client still
    waits. Clients of one route mostly begin with the same patience, so the longest wait that many
    announce is that of first attempts, and what an attempt announces less was spent on earlier
    ones. Where clients begin with patiences of their own that lie close together (PatienceBand),
    what is announced less than the least of these was. Where neither stands out, nothing is
    concluded.
*/
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "mesh/patience_band.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class AttemptAges
{
public:
    /** Takes what a request announces, and estimates the time that earlier attempts of it took.
        @param announced  how long its client waits from now on
        @returns zero for a first attempt, or when nothing can be concluded
    */
    Milliseconds observe (Timestamp now, const std::string& route, Milliseconds announced);

private:
    /** The waits announced on a route during one period. */
    struct Period
    {
        std::int64_t index = -1;
        Milliseconds longest{ 0 };
        std::uint32_t total = 0;
        std::uint32_t nearLongest = 0;
        PatienceBand band;

        void add (Milliseconds announced);
    };

    static constexpr std::size_t periodCount = 2; // This one and the one before.
    using Periods = std::array<Period, periodCount>;

    /** Of one route. */
    struct History
    {
        Periods periods;
        std::optional<Patience> patience; /**< As of `reviewedAt`. */
        Timestamp reviewedAt{};
    };

    static Milliseconds ageInBand (Timestamp now, History& history, Milliseconds announced);

    std::unordered_map<std::string, History> byRoute;
};

} // namespace copperlead::mesh
