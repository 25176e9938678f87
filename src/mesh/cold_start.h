/** Tracks whether a node's local instance is cold. An instance is cold when it has started recently
    or has gone cold again; until it has warmed up it sustains only few requests and fails above
    that. This is decision logic without I/O.

    What the instance itself answers is exact. Entries of the discovery source arrive late, so an
    entry that states that the instance is cold makes the node ask again. An instance that isn't
    known to be warm counts as cold: one that the node hasn't seen before, and one whose zone gets
    requests again after an evacuation.
*/
#pragma once

#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** The configured cold start behaviour of a service's instances. */
struct ColdProfile
{
    Milliseconds coldPeriod{};  /**< How long an instance stays cold; 0 if it never is. */
    double startsPerSecond = 0; /**< Request rate that a cold instance sustains. */

    bool operator== (const ColdProfile&) const = default;
};

/** The load above its sustained rate that a cold instance can get in a second before it fails. */
struct ColdBounds
{
    double overloadFactor = 1; /**< Multiple of the sustained rate. */
    double slack = 0;          /**< Number of requests added to that. */
};

/** The maximum number of requests started at a cold instance within a second; 0 if unlimited. */
int maxColdStarts (const ColdProfile& profile, const ColdBounds& bounds);

/** The maximum number of those within a quarter of a second; 0 if unlimited. New connections open
    one after the other, so if many requests start at once, some of them arrive late, within the
    same second as requests started up to a second later. In a model of an instance that opens one
    connection per ms, 42 requests arrive in a second if 26 may start at once, but 26 if 7 may start
    in a quarter of a second.
*/
int maxColdStartsPerQuarterSecond (const ColdProfile& profile, const ColdBounds& bounds);

/** The number of those that a node which has just started must assume to be used up. Its
    predecessor may have started the maximum within the same second, and both together must stay
    within the bounds.
*/
int assumedColdStarts (const ColdProfile& profile, const ColdBounds& bounds);

/** Marks an entry whose remaining cold time is unreadable; the configured time is used instead. */
inline constexpr Milliseconds unreadableColdTime{ -1 };

/** The longest remaining cold time that is accepted from an instance. */
inline constexpr Milliseconds maxColdTime{ 3'600'000 };

/** Not thread-safe. */
class ColdStart
{
public:
    void setProfile (const ColdProfile& newProfile) { profile = newProfile; }

    /** Discards what is known of the instance, so that it counts as cold until it answers. */
    void presumeCold (Timestamp now);

    /** Records the instance's entry.
        @param learnedAt  when this node learned of the entry
        @param remaining  the remaining cold time that the entry states
    */
    void recordEntry (Timestamp learnedAt, Milliseconds remaining);

    /** Records the instance's own answer.
        @param remaining  the remaining cold time, or nothing if the answer doesn't state it
    */
    void recordAnswer (Timestamp now, std::optional<Milliseconds> remaining);

    /** The time until which the instance counts as cold; in the past if the instance is warm. */
    Timestamp until() const;

    bool isCold (Timestamp now) const { return now < until(); }

    /** @returns true if the instance should be asked whether it is cold */
    bool wantsAnswer (Timestamp now) const;
    void recordQuery (Timestamp now) { askedAt = now; }

private:
    static constexpr Milliseconds askInterval{ 250 };

    ColdProfile profile;
    bool presumed = true; /**< Assumed cold since `presumedAt`, without an answer yet. */
    Timestamp presumedAt{};
    Timestamp listedAt{}, listedUntil{};
    Timestamp askedAt{}, answeredAt{}, answeredUntil{};
};

} // namespace copperlead::mesh
