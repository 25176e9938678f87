/** Enforces the limit that an instance states in its answers: the requests per second that it
    accepts from all nodes together. Every request passes the node beside the instance, so the limit
    is enforced there and no other node counts. Performs no I/O.

    The limit is a token bucket that is empty when a limit comes into force, since the requests that
    were sent just before aren't known. An answer always decides over what other nodes have passed
    on, and the answer that arrived last over earlier ones.
*/
#pragma once

#include <optional>

#include "base/time.h"
#include "mesh/token_bucket.h"

namespace copperlead::mesh
{

/** Where the limit in force comes from. */
enum class LimitOrigin : std::uint8_t
{
    answer, /**< An answer to a request. */
    healthAnswer,
    otherNode /**< Another node that has passed on an answer with this limit. */
};

inline constexpr std::string_view limitOriginNames[] = { "answer", "health", "node" };

/** Not thread-safe. */
class InstanceRateLimit
{
public:
    /** Records the limit that an answer to a request states, or that it states none.
        @param answeredAt  when the head of the answer arrived; one that arrived before the latest
                           recorded one has no effect
        @returns true if the limit in force changed
    */
    bool recordAnswer (Timestamp answeredAt, std::optional<double> requestsPerSecond);

    /** Records a health answer. Some instances state no limit there, so an answer without one
        doesn't end the limit: it allows a single request, whose answer then decides.
        @returns true if the limit in force changed
    */
    bool recordHealthAnswer (Timestamp answeredAt, std::optional<double> requestsPerSecond);

    /** Takes over a limit that another node knows. It has no effect once an answer has been
        recorded, and of several the lowest counts.
        @returns true if the limit in force changed
    */
    bool adopt (Timestamp now, double requestsPerSecond);

    /** Discards everything, since another incarnation of the instance has started. */
    void reset() { *this = {}; }

    /** The limit in force; nothing if there is none. */
    std::optional<double> requestsPerSecond() const { return limit; }
    LimitOrigin origin() const { return from; }

    /** The earliest time at which a request may start that has `before` requests ahead of it; at
        most an hour from now.
    */
    Timestamp earliestStart (Timestamp now, std::size_t before) const;

    /** The time until a request that is refused now can be accepted. A limit of zero may end at any
        time, so the next check counts.
    */
    Duration retryDelay (Timestamp now, std::size_t before) const;

    void recordStart (Timestamp now);

    /** Takes back a recorded start whose request wasn't sent. */
    void cancelStart();

    /** @returns true if the instance should be asked for its health, since no answer has confirmed
                 the limit lately
    */
    bool wantsProbe (Timestamp now) const;
    void recordProbe (Timestamp now) { probedAt = now; }

private:
    /** A limit that no answer has confirmed for so long is checked. */
    static constexpr Milliseconds confirmationInterval{ 2000 };

    bool set (Timestamp now, std::optional<double> newLimit, LimitOrigin newOrigin);
    double capacity() const;

    /** Tokens available at `now`; negative after a start that had no token. */
    double levelAt (Timestamp now) const;

    std::optional<double> limit;
    LimitOrigin from = LimitOrigin::answer;
    TokenBucket bucket{ {}, 0 };
    Timestamp answeredAt{};  /**< Arrival of the latest recorded answer. */
    Timestamp confirmedAt{}; /**< Arrival of the latest answer that stated the limit. */
    Timestamp probedAt{};
    bool trialAllowed = false; /**< A request may start without a token. */
};

} // namespace copperlead::mesh
