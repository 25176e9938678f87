/** Tracks the zones that the operator has evacuated. Instances in an evacuated zone receive no new
    requests until the evacuation ends. Performs no I/O.
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

/** Start or end of a zone's evacuation. */
struct EvacuationChange
{
    std::string zone;
    SourcePosition position;
    bool ended = false; /**< Whether the evacuation has ended. */

    /** Overrides an older state of the zone that a restored source lists. */
    bool retained = false;

    bool operator== (const EvacuationChange&) const = default;
};

/** The evacuation state of all zones. Ended evacuations are kept so that nodes that missed the
    end can be informed. Not thread-safe.
*/
class ZoneEvacuations
{
public:
    /** Time for which a zone's state is kept after a restore of the source has lost it, unless the
        state is written again.
    */
    static constexpr Milliseconds retentionTime{ 30'000 };

    /** Applies a change, unless the zone's recorded state is newer.
        @returns true if the zone became evacuated or its evacuation ended
    */
    bool apply (Timestamp now, const EvacuationChange& change);

    /** Ends, as of `position`, the evacuations that a complete listing doesn't contain. Those of an
        earlier epoch are retained, since the restore may have lost them.
        @returns the evacuations that it ended
    */
    std::vector<EvacuationChange>
    removeUnlisted (Timestamp now, const std::set<std::string>& listed, SourcePosition position);

    /** Ends expired retentions, after which a zone's state is the one that the source lists.
        @returns the resulting changes
    */
    std::vector<EvacuationChange> advance (Timestamp now);

    std::vector<EvacuationChange> changesSince (SourcePosition position) const;

    std::set<std::string> zones() const;

private:
    struct ZoneState
    {
        EvacuationChange change;

        /** Revision of the latest evacuation order, even if the evacuation has ended. */
        std::uint64_t lastOrderRevision = 0;

        Timestamp retainedAt{}; /**< Valid while `change.retained` is set. */
    };

    static void retain (Timestamp now, ZoneState& state, SourcePosition position);
    static bool relistsEndedEvacuation (const ZoneState& state, const EvacuationChange& change);

    std::map<std::string, ZoneState> byZone;
};

} // namespace copperlead::mesh
