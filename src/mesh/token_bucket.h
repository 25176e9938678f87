/** Tokens that come at a rate and are kept up to a capacity. The rate and the capacity may change
   at any time. Deciding code without I/O.
*/
#pragma once

#include <cstdint>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class TokenBucket
{
public:
    /** @param level  of tokens to begin with */
    TokenBucket (Timestamp now, double level)
        : tokens (level)
        , filledAt (now)
    {
    }

    /** Adds what has come since the last call. */
    void fill (Timestamp now, double perSecond, double capacity);

    /** Takes up to that many whole tokens. @returns how many there were */
    std::uint32_t take (std::uint32_t wanted);
    void giveBack (double count, double capacity);
    double level() const { return tokens; }

private:
    double tokens;
    Timestamp filledAt;
};

} // namespace copperlead::mesh
