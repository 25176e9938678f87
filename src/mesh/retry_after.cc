#include "mesh/retry_after.h"

#include <algorithm>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

// Of the time left; clients heed up to a third of it.
constexpr double leastShareInOverload = 0.2, mostShareInOverload = 0.33;
constexpr double usualShare = 0.1;

} // namespace

Milliseconds retryAfter (HopCause cause, Duration clientLeft, double spread)
{
    const bool overloaded = isAboutLoad (cause) || cause == HopCause::expired;
    const auto share =
        overloaded ? leastShareInOverload + spread * (mostShareInOverload - leastShareInOverload)
                   : usualShare;
    const auto left = std::max (toMilliseconds (clientLeft), 0.0);
    return Milliseconds (static_cast<std::int64_t> (left * share) + 1);
}

} // namespace copperlead::mesh
