/** A token bucket whose rate and capacity may change at any time. The class does no I/O. */
#pragma once

#include <cstdint>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class TokenBucket
{
public:
    /** @param initialLevel  tokens held at the start */
    TokenBucket (Timestamp now, double initialLevel)
        : tokens (initialLevel)
        , filledAt (now)
    {
    }

    /** Adds the tokens that have accrued since the last call, up to the capacity. */
    void refill (Timestamp now, double perSecond, double capacity);

    /** Takes up to `wanted` whole tokens.
        @returns the number of tokens taken
    */
    std::uint32_t take (std::uint32_t wanted);

    /** Takes tokens that may not have accrued yet, so that the level may become negative. */
    void spend (double count) { tokens -= count; }

    /** Returns unused tokens. Tokens above the capacity are discarded; the level never falls. */
    void giveBack (double count, double capacity);

    double level() const { return tokens; }

private:
    double tokens;
    Timestamp filledAt;
};

} // namespace copperlead::mesh
