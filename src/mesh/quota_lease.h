/** What one node may still pass on of one tenant's requests: what the keeper of its quota granted,
   or, while no keeper can be reached, the part of the quota that the keeper last said was this
   node's, or an equal one. Deciding code without I/O.

    A node that passes on many requests asks for some ahead, so that they needn't wait for the
    keeper; one that passes on few asks for each, since what it would hold unused lapses and others
    would lack it.

    Each grant lapses by itself. If later grants kept earlier ones alive, a node whose requests are
    passed and given back, as while no instance can be reached, would save up all that it was
   granted meanwhile and run it at once.
*/
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "mesh/quota_bounds.h"
#include "mesh/token_bucket.h"

namespace copperlead::mesh
{

enum class QuotaStep : std::uint8_t
{
    pass,
    wait,  /**< The keeper is to be asked. */
    refuse /**< The keeper said that there is no room. */
};

/** Not thread-safe. */
class QuotaLease
{
public:
    /** A request came. @returns pass when it may go on, and was counted */
    QuotaStep take (Timestamp now);

    /** One that waited may go on if a grant has come. @returns pass or wait */
    QuotaStep takeGranted (Timestamp now);

    /** While no keeper can be reached.
        @param nodes   among which the quota is divided equally
        @param chance  drawn from 0 to 1
        @returns pass or refuse
    */
    QuotaStep takeAlone (Timestamp now, const Quota& quota, std::size_t nodes, double chance);

    /** When the grant lapses that the latest pass of take() or takeGranted() was counted on. */
    Timestamp lapseOfLatestPass() const { return latestLapse; }

    /** A request that was passed has not run after all: another may go on in its place, unless the
        grant has lapsed meanwhile.
        @param lapsesAt  of its grant; the time's zero for one that was passed without a keeper
    */
    void giveBack (Timestamp now, Timestamp lapsesAt);

    /** How many to ask the keeper for now. @param waiting  requests that wait for the answer */
    std::uint32_t wanted (Timestamp now, std::size_t waiting);

    /** What lapsed unused since it was asked last, to be given back to the keeper. */
    std::uint32_t takeLapsed (Timestamp now);

    /** @param alonePerSecond  what this node may pass on while it reaches no keeper */
    void granted (Timestamp now, std::uint32_t count, double alonePerSecond);

    /** Requests are refused for so long. */
    void refused (Timestamp now, Milliseconds howLong) { refusedUntil = now + howLong; }

    double perSecond (Timestamp now) const;

private:
    void dropLapsed (Timestamp now);
    void observe (Timestamp now);
    double alonePart (Timestamp now, const Quota& quota, std::size_t nodes) const;

    std::map<Timestamp, std::uint32_t> held; /**< Tokens, by when their grants lapse. */
    std::uint32_t tokens = 0;                /**< All that are held. */
    std::uint32_t lapsed = 0;                /**< Tokens that the keeper may have back. */
    Timestamp latestLapse{};
    Timestamp refusedUntil{};
    double rate = 0; /**< Requests a second, older ones counting less. */
    Timestamp ratedAt{};
    std::optional<TokenBucket> alone; /**< While no keeper answers. */
    Timestamp lastAlone{};
    double aloneRate = 0;
    Timestamp heardAt{}; /**< When a keeper last answered. */
};

} // namespace copperlead::mesh
