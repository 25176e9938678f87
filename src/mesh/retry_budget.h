/** The part of a fleet-wide retry budget that one node may spend without coordination.

    The fleet's budget over a sliding window is ratio x requests + slack. A node may spend ratio x
    its own requests and an equal part of the slack. Since the requests of all nodes add up to the
    fleet's, the parts can't exceed the whole. The budget limits the load on a service that refuses
    far more requests than can be retried.

    The more nodes share a budget, the smaller the parts become, and the more of it would be lost by
    rounding each part down to whole retries. So every node rounds at its own threshold, drawn from
    a uniform distribution: some round up and as many round down. What one node overspends another
    underspends, so the larger the fleet, the larger the share of its budget that it may spend
    (spendableShare()).

    A node that has just started can't know what its predecessor spent. So it takes only that part
    of the slack which its predecessor could not have spent: even if all nodes restarted, the fleet
    would stay within its slack.

    Where not all requests can be retried, those whose clients won't retry by themselves go first,
    then the more urgent (RetryClaim): a retry spent on a request whose client retries anyway serves
    about half as many. As many retries as higher-ranked claims recently asked for are
    reserved for them. Against claims whose clients retry, the expected retries of these clients
    are reserved too.

    The calls that an instance makes during a repeated run are repeats at the service that it calls.
    A node can't tell which calls these are. So it charges the share of repeats among the runs
    beside it to the requests that start there, in proportion to the share of them that may be calls
    (CallShare).
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
    double minShare = 0.6; /**< Share of its part that a node may always spend. */

    /** Share of a part that is left unspent whatever the size of the fleet, unless minShare permits
        more. It allows for traffic that comes in pulses shorter than a window, and for the time
        between the decision to retry and the retry's arrival.
    */
    double safetyMargin = 0.15;
};

/** The rank of a request that asks for a retry among others that do. */
struct RetryClaim
{
    bool noClientRetryExpected = false; /**< Its client isn't expected to retry after a refusal. */
    int priority = 0;                   /**< 0 is the most urgent. */
};

/** The claim of a hedge, which is a second attempt while the first may still be answered. It ranks
    in the lowest class.
*/
inline constexpr RetryClaim hedgeClaim{ false, 1 << 20 };

/** One service's budget at one node. Not thread-safe. */
class RetryBudget
{
public:
    /** @param startedAt  when this node started
        @param threshold  uniformly drawn from [0, 1) and kept for the node's lifetime; a fraction
                          of a retry of at least 1 - threshold is rounded up
    */
    explicit RetryBudget (const RetryBudgetSettings& settingsToUse,
                          Timestamp startedAt = Timestamp::min(), double threshold = 0);

    /** Counts a request that starts at this node.
        @param repeatShare  share of repeats, from 0 to 1, that is charged to the request
    */
    void countRequest (Timestamp now, double repeatShare = 0);

    /** Spends one retry if the budget and the reserve for higher-ranked claims allow it.
        @param nodes  number of nodes that share the slack
    */
    bool trySpend (Timestamp now, std::size_t nodes, const RetryClaim& claim);

    /** The unspent part of the budget, which may be negative. */
    double remaining (Timestamp now, std::size_t nodes) const;

private:
    static constexpr std::int64_t numWindowBuckets = 20;

    /** One bucket more than a window, since a window may begin in the middle of the oldest. */
    static constexpr std::size_t numBuckets = numWindowBuckets + 1;

    /** Less urgent priorities count as the last of these. */
    static constexpr std::size_t numPriorities = 8;
    static constexpr std::size_t numRanks = 2 * numPriorities;

    /** Number of recent buckets whose higher-ranked claims determine the reserve. */
    static constexpr std::int64_t numReserveBuckets = 4;

    /** Number of recent buckets from which the number of client retries is forecast. */
    static constexpr std::int64_t numForecastBuckets = 8;

    struct Bucket
    {
        std::int64_t index = -1;
        double requests = 0, retries = 0; /**< Retries include fractional repeat shares. */
        std::array<std::uint32_t, numRanks> claims{};
    };

    static std::size_t rankOf (const RetryClaim& claim);
    Bucket& bucketAt (Timestamp now);
    std::int64_t indexOf (Timestamp now) const;
    double recentHigherRankedClaims (Timestamp now, std::size_t rank) const;
    double expectedClientRetries (Timestamp now) const;
    double nodeBudget (Timestamp now, double requests, std::size_t nodes) const;
    double reserveFor (Timestamp now, std::size_t rank) const;

    RetryBudgetSettings settings;
    Timestamp fullSlackFrom; /**< Until then a predecessor's spending may still be in the window. */
    double threshold;
    std::array<Bucket, numBuckets> buckets{};
};

/** The share of its part of the budget that each of `nodes` nodes may spend. */
double spendableShare (const RetryBudgetSettings& settings, std::size_t nodes);

} // namespace copperlead::mesh
