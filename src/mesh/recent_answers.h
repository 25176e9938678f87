/** Remembers which requests instances have answered recently. A request that was answered doesn't
    crash every instance that runs it. This immediately separates frequent requests that happened to
    run during a crash from the one that caused it. This is decision logic without I/O.
*/
#pragma once

#include <set>

#include "base/time.h"
#include "mesh/request_digest.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class RecentAnswers
{
public:
    /** An answer is remembered for one to two times this long. */
    static constexpr Milliseconds generationTime{ 10'000 };

    /** Limit for one generation; further answers aren't remembered. 4,096 take about 250 KB. */
    static constexpr std::size_t maxPerGeneration = 4096;

    void observe (Timestamp now, const RequestDigest& request);
    bool contains (Timestamp now, const RequestDigest& request);

private:
    void advance (Timestamp now);

    std::set<RequestDigest> current, previous;
    Timestamp generationStart{};
};

} // namespace copperlead::mesh
