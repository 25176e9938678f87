/** Which zones the operator has evacuated: their instances get nothing new until that is taken
   back. Deciding code without I/O.
*/
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "mesh/source_position.h"

namespace copperlead::mesh
{

/** An order to evacuate a zone, or that it was taken back. */
struct EvacuationChange
{
    std::string zone;
    SourcePosition position;
    bool over = false;

    /** Overrides an older state of the zone that a restored source lists. */
    bool retained = false;

    bool operator== (const EvacuationChange&) const = default;
};

/** Orders that were taken back are remembered, so that those who missed it can be told. Not
    thread-safe.
*/
class ZoneEvacuations
{
public:
    /** How long a zone's state is kept after a restore lost it, unless it is written again. */
    static constexpr Milliseconds retentionTime{ 30'000 };

    /** @returns true if the zone's state changed; changes older than the known do nothing */
    bool take (Timestamp now, const EvacuationChange& change);

    /** Takes back, as of `position`, the orders that a complete listing doesn't hold. Those of an
        earlier epoch are retained, since the restore may have lost them.
        @returns those that it took back
    */
    std::vector<EvacuationChange> removeAllBut (Timestamp now, const std::set<std::string>& listed,
                                                SourcePosition position);

    /** Ends expired retentions: the zone's state is then the one that the source lists.
        @returns the changes
    */
    std::vector<EvacuationChange> advance (Timestamp now);

    std::vector<EvacuationChange> changesSince (SourcePosition position) const;

    std::set<std::string> zones() const;

private:
    struct Known
    {
        EvacuationChange change;
        std::uint64_t orderRevision = 0; /**< The revision of the last order, even if it is over. */
        Timestamp retainedAt{};          /**< Valid while `change.retained`. */
    };

    static void retain (Timestamp now, Known& known, SourcePosition position);
    static bool relistsEndedEvacuation (const Known& known, const EvacuationChange& change);

    std::map<std::string, Known> byZone;
};

} // namespace copperlead::mesh
