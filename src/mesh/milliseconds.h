/** Conversions to and from fractional milliseconds, the unit of estimates, logs and metrics. */
#pragma once

#include <optional>

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

inline Milliseconds fromSeconds (double count)
{
    return Milliseconds (static_cast<std::int64_t> (1000 * count));
}

inline Milliseconds fromMillisecondCount (double count)
{
    return Milliseconds (static_cast<std::int64_t> (count));
}

/** @returns the time since `when`, or nullopt when `when` is unset (the clock's epoch) */
inline std::optional<double> ageInMilliseconds (Timestamp now, Timestamp when)
{
    if (when == Timestamp{})
        return std::nullopt;

    return toMilliseconds (now - when);
}

} // namespace copperlead::mesh
