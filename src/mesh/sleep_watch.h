/** Notices that the process has slept: suspended with its machine, stopped, or without a processor.
   For its log only; what may not be too old is judged by its age each time. Deciding code without
   I/O.
*/
#pragma once

#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

struct Sleep
{
    Duration asleep{};    /**< Beyond the time at which it should have looked again. */
    Duration suspended{}; /**< Of it: with the whole machine. */
};

/** Not thread-safe. */
class SleepWatch
{
public:
    /** Shorter ones are usual on a busy machine. */
    static constexpr Milliseconds shortestSleep{ 1000 };

    /** To be called about every `interval`.
        @param suspendedTime  of the machine since its start
        @returns the sleep since the last call, if there was one
    */
    std::optional<Sleep> look (Timestamp now, Duration suspendedTime, Duration interval);

private:
    Timestamp lookedAt{};
    Duration suspendedBefore{};
};

} // namespace copperlead::mesh
