/** Times as fractional milliseconds, in which estimates, logs and metrics are reckoned. */
#pragma once

#include "base/time.h"

namespace copperlead::mesh
{

inline double toMilliseconds (Duration time)
{
    return std::chrono::duration<double, std::milli> (time).count();
}

inline Duration fromMilliseconds (double count)
{
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (count));
}

} // namespace copperlead::mesh
