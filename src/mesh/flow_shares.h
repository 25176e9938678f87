/** Estimates which share of a flow each receiver got over the last seconds. The class does no
    I/O.
*/
#pragma once

#include <string>
#include <unordered_map>

#include "base/time.h"

namespace copperlead::mesh
{

/** Not thread-safe. */
class FlowShares
{
public:
    /** Records that `count` items went to a receiver. */
    void observe (Timestamp now, const std::string& receiver, double count);

    /** @returns the items per second that a receiver gets, recent ones weighing most. */
    double perSecond (Timestamp now, const std::string& receiver) const;

    /** @returns the receiver's share of the whole flow, from 0 to 1; 0 without any flow. */
    double shareOf (Timestamp now, const std::string& receiver) const;

private:
    /** A count that decays exponentially with time. */
    struct DecayingCount
    {
        double count = 0;
        Timestamp updatedAt{};

        double at (Timestamp now) const;
        void add (Timestamp now, double more);
    };

    DecayingCount total;
    std::unordered_map<std::string, DecayingCount> byReceiver;
};

} // namespace copperlead::mesh
