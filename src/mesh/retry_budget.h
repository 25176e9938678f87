/** The part of a fleet-wide retry budget that one node may spend without asking the others.

    The fleet's budget over a sliding window is ratio x requests + slack. A node counts its own
    requests and takes ratio x those, and an equal part of the slack; since the requests of all
    nodes add up to the fleet's, the parts can't add up to more than the whole. Answers the load of
    a service that turns away far more than can be sent again.

    The more nodes share a budget, the smaller are the parts, and the more of it would be lost by
    rounding each down to whole retries. So every node rounds at a threshold of its own, drawn
    evenly: some round up and as many down. What then is spent too much at one node is spent too
    little at another, so that the larger the fleet, the larger the share of its budget that it may
    spend (shareToSpend()).

    A node that has just started can't know what its forerunner spent, so of the slack it takes only
    what nobody spends otherwise: were all nodes to start again, the fleet's slack would still last.

    Where not all can be sent again, those go first that have no other chance, then the more urgent
    (RetryClaim): a retry spent on a request whose client comes back anyway serves about half as
    many. What the better claims asked for lately is kept back from the others, and what the others
    will ask for when their clients come back.

    The calls that an instance makes in a repeated run are repeats at the service that it calls.
    A node can't tell which of them are, so it charges the share of repeats among the runs beside it
    to the requests that begin there, as far as they may be calls (CallShare).
*/
#pragma once

#include <array>
#include <cstdint>

#include "base/time.h"

namespace copperlead::mesh
{

struct RetryBudgetSettings
{
    double ratio = 0.2;
    double slack = 64;
    Milliseconds window{ 10'000 };
    double leastShare = 0.6; /**< Of its part, that a node may spend in a fleet of any size. */

    /** Of a part: nothing is sure about traffic that comes in pulses shorter than a window, nor
        about the time between a retry's decision and its arrival. Fleets of any size have it.
    */
    double lastingDoubt = 0.15;
};

/** What a request that asks for a retry is worth, beside others that ask. */
struct RetryClaim
{
    bool lastChance = false; /**< Its client isn't expected to come back if it is refused. */
    int priority = 0;        /**< 0 is the most urgent. */
};

/** Of a second attempt beside one that may still be answered: any other claim is before it. */
inline constexpr RetryClaim hedgeClaim{ false, 1 << 20 };

/** One service's budget at one node. Not thread-safe. */
class RetryBudget
{
public:
    /** @param startedAt  when this node started
        @param threshold  from [0, 1): the part of a whole retry from which this node rounds up is
                          1 - threshold; evenly drawn, and kept for the node's life
    */
    explicit RetryBudget (const RetryBudgetSettings& settingsToUse,
                          Timestamp startedAt = Timestamp::min(), double threshold = 0);

    /** @param inheritedShare  of the runs beside this node that are repeats, 0 to 1 */
    void countRequest (Timestamp now, double inheritedShare = 0);

    /** Spends one retry if the budget has one.
        @param nodes  how many nodes share the slack
    */
    bool take (Timestamp now, std::size_t nodes, const RetryClaim& claim);

    /** What is left, for logs and metrics. */
    double left (Timestamp now, std::size_t nodes) const;

private:
    static constexpr std::int64_t bucketsInWindow = 20;

    /** One more than a window, which may begin in the middle of the oldest. */
    static constexpr std::size_t bucketCount = bucketsInWindow + 1;

    /** Priorities from the last on count alike. */
    static constexpr std::size_t priorityCount = 8;
    static constexpr std::size_t rankCount = 2 * priorityCount;

    /** Better claims of so long are kept back for those to come. */
    static constexpr std::int64_t bucketsOfReserve = 4;

    /** From the claims of so long it is foretold how many come back. */
    static constexpr std::int64_t bucketsOfForecast = 8;

    struct Bucket
    {
        std::int64_t index = -1;
        double requests = 0, retries = 0; /**< Fractions: of what is inherited. */
        std::array<std::uint32_t, rankCount> claims{};
    };

    static std::size_t rankOf (const RetryClaim& claim);
    Bucket& bucketAt (Timestamp now);
    std::int64_t indexOf (Timestamp now) const;
    double betterClaims (Timestamp now, std::size_t rank) const;
    double claimsToComeBack (Timestamp now) const;
    double partOf (Timestamp now, double requests, std::size_t nodes) const;
    double reserveBefore (Timestamp now, std::size_t rank) const;

    RetryBudgetSettings settings;
    Timestamp wholeSlackFrom; /**< Before it a forerunner may have spent its share of the slack. */
    double threshold;
    std::array<Bucket, bucketCount> buckets{};
};

/** The share of its part of a budget that each of so many nodes may spend. */
double shareToSpend (const RetryBudgetSettings& settings, std::size_t nodes);

} // namespace copperlead::mesh
