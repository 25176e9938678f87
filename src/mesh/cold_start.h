/** Whether the instance beside a node is cold: it has started lately, or lost its warmth, and bears
    few requests until it has warmed up; beyond them it falls over. Deciding code without I/O.

    What the instance says of itself when it is asked is exact. Entries of the discovery source come
    late, so one that calls the instance cold makes the node ask again. Whatever isn't known to be
    warm counts as cold: an instance that the node hasn't seen before, and one whose zone gets
    requests again after an evacuation.
*/
#pragma once

#include <optional>

#include "base/time.h"

namespace copperlead::mesh
{

/** How the instances of a service begin, as the configuration says. */
struct ColdProfile
{
    Milliseconds longest{};     /**< For which an instance stays cold; 0: never. */
    double startsPerSecond = 0; /**< Requests that a cold instance bears. */

    bool operator== (const ColdProfile&) const = default;
};

/** What a cold instance gets in a second before it falls over, beyond what it bears. */
struct ColdBounds
{
    double over = 1;  /**< A multiple of what it bears. */
    double slack = 0; /**< Requests beyond that. */
};

/** The most requests that are started at a cold instance within a second; 0: no bound. */
int mostColdStarts (const ColdProfile& profile, const ColdBounds& bounds);

/** Of those, the most within a quarter of a second; 0: no bound. New connections open one after the
    other, so of many starts at once some arrive later than others that follow a second behind. In
    a model of an instance that opens one in 1 ms, 42 arrive in a second when 26 may start at once,
    26 when 7 may in a quarter.
*/
int mostColdStartsInQuarter (const ColdProfile& profile, const ColdBounds& bounds);

/** Of those, how many a node must take for granted that has just started, since its forerunner may
    have sent as many: both together are to stay under the bounds.
*/
int unknownColdStarts (const ColdProfile& profile, const ColdBounds& bounds);

/** Of an entry whose remaining time can't be read: as long as the configuration says. */
inline constexpr Milliseconds unreadableColdTime{ -1 };

/** The longest time for which an instance is believed to stay cold. */
inline constexpr Milliseconds longestColdTime{ 3'600'000 };

/** Not thread-safe. */
class ColdStart
{
public:
    void setProfile (const ColdProfile& newProfile) { profile = newProfile; }

    /** Nothing is known of the instance any more. */
    void presumeCold (Timestamp now);

    /** The instance's entry, as this node learned of it.
        @param remaining  for which it said to stay cold
    */
    void listed (Timestamp learnedAt, Milliseconds remaining);

    /** The instance's own answer. @param remaining  nothing when the answer doesn't tell */
    void answered (Timestamp now, std::optional<Milliseconds> remaining);

    /** Until when the instance counts as cold; in the past when it is warm. */
    Timestamp until() const;

    bool isCold (Timestamp now) const { return now < until(); }

    /** True when the instance should be asked. */
    bool wantsAnswer (Timestamp now) const;
    void asked (Timestamp now) { askedAt = now; }

private:
    static constexpr Milliseconds askInterval{ 250 };

    ColdProfile profile;
    bool presumed = true; /**< As of `presumedAt`, and not yet answered. */
    Timestamp presumedAt{};
    Timestamp listedAt{}, listedUntil{};
    Timestamp askedAt{}, answeredAt{}, answeredUntil{};
};

} // namespace copperlead::mesh
