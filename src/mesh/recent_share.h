/** A share that is learned by counting, of which the past counts less and less. Deciding code
    without I/O.
*/
#pragma once

#include <optional>

namespace copperlead::mesh
{

/** Not thread-safe. */
class RecentShare
{
public:
    /** @param part   of it, that counts for the share
        @param whole  to what the share is taken
    */
    void add (double part, double whole)
    {
        counted += part;
        total += whole;

        if (total <= mostRemembered)
            return;

        counted /= 2;
        total /= 2;
    }

    /** Nothing while too little is known. */
    std::optional<double> value() const
    {
        return total < leastToBelieve ? std::nullopt : std::optional (counted / total);
    }

private:
    static constexpr double leastToBelieve = 4;
    static constexpr double mostRemembered = 128; // What came before them counts for half.

    double counted = 0, total = 0;
};

} // namespace copperlead::mesh
