/** For how long the clients of a route wait from their first attempt on, by what all their attempts
    announce. Deciding code without I/O.

    Each client has a patience of its own, and those of a route lie close together; what returning
    clients announce is less, by the time that they spent, and there are few between the two. So the
    first attempts are the topmost heap of the announcements, and end where they thin out below it.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** What first attempts announce. */
struct Patience
{
    Milliseconds least{};
    Milliseconds usual{};
};

/** Counts of announcements. Not thread-safe. */
class PatienceBand
{
public:
    void add (Milliseconds announced);
    void add (const PatienceBand& other);

    /** @returns nothing while too few were counted, or no heap stands out */
    std::optional<Patience> find() const;

    std::uint32_t total() const { return count; }

private:
    double smoothed (int bin) const;
    int topBin() const;
    std::optional<int> lowestBin (int top) const;

    std::map<int, std::uint32_t> bins; /**< By the logarithm of the announcement. */
    std::uint32_t count = 0;
};

} // namespace copperlead::mesh
