#include "mesh/flow_shares.h"

#include <algorithm>
#include <cmath>

#include "mesh/milliseconds.h"

namespace copperlead::mesh
{
namespace
{

// Time constant of the exponential decay: after it, an observation weighs 1/e, about a third.
constexpr double decayTimeMs = 3000;

} // namespace

double FlowShares::DecayingCount::at (Timestamp now) const
{
    return count * std::exp (-toMilliseconds (now - updatedAt) / decayTimeMs);
}

void FlowShares::DecayingCount::add (Timestamp now, double more)
{
    count = at (now) + more;
    updatedAt = now;
}

void FlowShares::observe (Timestamp now, const std::string& receiver, double count)
{
    total.add (now, count);
    byReceiver[receiver].add (now, count);
}

double FlowShares::perSecond (Timestamp now, const std::string& receiver) const
{
    const auto found = byReceiver.find (receiver);
    return found == byReceiver.end() ? 0 : found->second.at (now) * 1000 / decayTimeMs;
}

double FlowShares::shareOf (Timestamp now, const std::string& receiver) const
{
    const auto found = byReceiver.find (receiver);
    const auto totalNow = total.at (now);

    if (found == byReceiver.end() || totalNow <= 0)
        return 0;

    return std::clamp (found->second.at (now) / totalNow, 0.0, 1.0);
}

} // namespace copperlead::mesh
