/** Detects pauses of the process: it was suspended with its machine, stopped, or not scheduled. The
    result is only logged; data that expires is checked by its age at each use. Contains no I/O.
*/
#pragma once

#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

struct Sleep
{
    Duration pauseDuration{}; /**< Delay of the call past the time at which it was due. */
    Duration suspended{};     /**< Part in which the whole machine was suspended. */
};

/** Not thread-safe. */
class SleepWatch
{
public:
    /** Shorter pauses are normal on a machine under load. */
    static constexpr Milliseconds minimumSleep{ 1000 };

    /** Checks for a pause since the previous call; to be called about every `interval`.
        @param suspendedTime  total time for which the machine has been suspended since its start
        @returns the pause, if there was one
    */
    std::optional<Sleep> check (Timestamp now, Duration suspendedTime, Duration interval);

private:
    Timestamp previousCheck{};
    Duration previousSuspendedTime{};
};

} // namespace copperlead::mesh
