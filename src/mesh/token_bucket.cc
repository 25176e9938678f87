#include "mesh/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace copperlead::mesh
{

void TokenBucket::refill (Timestamp now, double perSecond, double capacity)
{
    const auto seconds = std::chrono::duration<double> (now - filledAt).count();
    tokens = std::min (tokens + std::max (seconds, 0.0) * perSecond, capacity);
    filledAt = now;
}

std::uint32_t TokenBucket::take (std::uint32_t wanted)
{
    const auto whole = static_cast<std::uint32_t> (std::max (std::floor (tokens), 0.0));
    const auto taken = std::min (wanted, whole);
    tokens -= taken;
    return taken;
}

void TokenBucket::giveBack (double count, double capacity)
{
    tokens = std::max (tokens, std::min (tokens + count, capacity));
}

} // namespace copperlead::mesh
