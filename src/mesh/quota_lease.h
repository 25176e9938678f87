/** Decides which requests of one tenant a node may pass on. The node uses the tokens that the
    quota's keeper granted. While no keeper can be reached, it uses the share of the quota that
    the keeper last assigned to it, or a share derived from the number of nodes. The class does
    no I/O.

    A node with many requests asks for tokens in advance, so that requests needn't wait for the
    keeper. A node with few requests asks for each one: tokens held in advance would mostly
    expire unused while other nodes lack them.

    Each grant expires separately. If later grants extended earlier ones, a node whose requests
    are passed and given back, for example while no instance can be reached, would accumulate all
    that it was granted in that time and run it at once.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "mesh/quota_bounds.h"
#include "mesh/token_bucket.h"

namespace copperlead::mesh
{

enum class QuotaDecision : std::uint8_t
{
    pass,
    wait,  /**< The request waits for an answer from the keeper. */
    refuse /**< The keeper recently reported that the quota is used up. */
};

/** Not thread-safe. */
class QuotaLease
{
public:
    /** Decides on a new request and counts it towards the arrival rate.
        @returns pass if a token was taken for it, otherwise wait or refuse
    */
    QuotaDecision take (Timestamp now);

    /** Takes a granted token for a request that has been waiting.
        @returns pass or wait
    */
    QuotaDecision takeGranted (Timestamp now);

    /** Decides on a request while no keeper can be reached.
        @param nodes   number of nodes that share the quota if no keeper has assigned a share
        @param chance  random number from 0 to 1
        @returns pass or refuse
    */
    QuotaDecision takeWithoutKeeper (Timestamp now, const Quota& quota, std::size_t nodes,
                                     double chance);

    /** @returns when the grant expires whose token take() or takeGranted() used last. */
    Timestamp latestPassExpiry() const { return latestExpiry; }

    /** Returns the token of a request that was passed and did not run. Another request may use it
        until the grant expires.
        @param expiresAt  expiry of the grant; zero for a request that was passed without a keeper
    */
    void giveBack (Timestamp now, Timestamp expiresAt);

    /** @param waiting  number of requests that wait for the keeper's answer
        @returns the number of tokens to ask the keeper for now
    */
    std::uint32_t tokensToRequest (Timestamp now, std::size_t waiting);

    /** @returns the number of tokens that expired unused since the last call, to be returned to the
        keeper.
    */
    std::uint32_t takeExpired (Timestamp now);

    /** Adds the tokens of a keeper's answer.
        @param fallbackPerSecond  requests per second to pass on while no keeper can be reached
    */
    void addGrant (Timestamp now, std::uint32_t count, double fallbackPerSecond);

    /** Refuses requests for the given time, unless tokens are left. */
    void refuseFor (Timestamp now, Milliseconds howLong) { refusedUntil = now + howLong; }

    /** @returns the arrival rate in requests per second, recent ones weighing most. */
    double arrivalRate (Timestamp now) const;

private:
    void dropExpired (Timestamp now);
    void countArrival (Timestamp now);
    double fallbackShare (Timestamp now, const Quota& quota, std::size_t nodes) const;

    std::map<Timestamp, std::uint32_t> held; /**< Tokens, by expiry of their grants. */
    std::uint32_t tokens = 0;                /**< Sum of the tokens held. */
    std::uint32_t expired = 0;               /**< Expired tokens not yet returned to the keeper. */
    Timestamp latestExpiry{};
    Timestamp refusedUntil{};
    double rate = 0; /**< Requests per second at rateUpdatedAt. */
    Timestamp rateUpdatedAt{};
    std::optional<TokenBucket> fallback; /**< Bucket in use while no keeper answers. */
    Timestamp lastFallbackAt{};
    double fallbackRate = 0; /**< Requests per second that the keeper assigned for this case. */
    Timestamp answeredAt{};  /**< Time of the keeper's last grant. */
};

} // namespace copperlead::mesh
