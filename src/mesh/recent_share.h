/** A share that is estimated by counting, in which older counts have less and less weight. This is
    decision logic without I/O.
*/
#pragma once

#include <optional>

namespace copperlead::mesh
{

/** Not thread-safe. */
class RecentShare
{
public:
    /** Adds an observation.
        @param part   the portion of `whole` that counts towards the share
        @param whole  the amount that the share relates to
    */
    void add (double part, double whole)
    {
        counted += part;
        total += whole;

        if (total <= maxTotal)
            return;

        counted /= 2;
        total /= 2;
    }

    /** The share, or nothing until enough has been counted. */
    std::optional<double> value() const
    {
        return total < minTotal ? std::nullopt : std::optional (counted / total);
    }

private:
    static constexpr double minTotal = 4;
    static constexpr double maxTotal = 128; // Above this total all earlier counts are halved.

    double counted = 0, total = 0;
};

} // namespace copperlead::mesh
