/** A node's view of the mesh: the configuration, the directory of instances, and the position of
    the source up to which both are complete. Applies updates from the source or from other nodes,
    and provides the updates that other nodes lack. Contains no I/O.
*/
#pragma once

#include <optional>

#include "mesh/configuration_holder.h"
#include "mesh/mesh_update.h"
#include "mesh/source_continuity.h"

namespace copperlead::mesh
{

/** Result of applying the configuration in an update. */
struct ConfigurationOutcome
{
    std::optional<ConfigurationVerdict> verdict; /**< Empty if refused; see `error`. */
    Error error;
    std::uint64_t version = 0, before = 0;
    SourcePosition position;
};

struct UpdateOutcome
{
    bool listingIgnored = false; /**< The update is a listing older than the position reached. */
    bool restored = false;       /**< The update is the first of a later epoch. */

    /** True if the instances, or which of them are usable, may have changed. */
    bool instancesChanged = false;
    std::vector<EvacuationChange> evacuations; /**< Evacuations that were ordered or ended. */
    std::optional<ConfigurationOutcome> configuration; /**< Empty if the update had none. */

    /** Ids of instances whose entries show an earlier start than the known one. */
    std::vector<std::string> staleIncarnations;
};

/** Not thread-safe. */
class MeshState
{
public:
    /** @param entryHeartbeat  interval at which instances renew their entries */
    explicit MeshState (Milliseconds entryHeartbeat = FollowerSettings{}.entryHeartbeat);

    /** Records when the source last answered this node itself. */
    void sourceAnswered (Timestamp when) { continuity.add ({ when, when }); }

    /** Records when the source has answered another node of the zone. */
    void answersReported (const AnswerPeriod& reported) { continuity.add (reported); }

    /** @returns the latest period in which the source is known to have answered any node */
    const AnswerPeriod& answerPeriod() const { return continuity.period(); }

    UpdateOutcome take (Timestamp now, MeshUpdate update);

    /** Ends expired lapses and retentions, and lapses that no outage of the source explains.
        @param sourceAnswers  false in an outage of the source
        @returns the evacuations that changed
    */
    std::vector<EvacuationChange> advance (Timestamp now, bool sourceAnswers = true);

    /** @returns what a node lacks that has reached `position` and runs `version` (0: none) */
    MeshUpdate changesSince (Timestamp now, SourcePosition position, std::uint64_t version) const;

    const ConfigurationHolder& configurations() const { return holder; }
    InstanceDirectory& directory() { return instances; }
    std::set<std::string> evacuatedZones() const { return evacuations.zones(); }
    SourcePosition reached() const { return reachedPosition; }

    /** Returns whether the source's contents were known at any time. A restore from an empty backup
        doesn't change that, in whichever epoch.
    */
    bool sourceKnown() const { return hasKnownSource; }

private:
    ConfigurationOutcome takeConfiguration (ConfigurationChange change);

    /** Tells the directory which services the running configuration names.
        @returns true if that changes which instances are usable
    */
    bool updateServices();

    /** @returns the time for which instances stay usable that the update removes or lacks, unless a
                 removal states it itself
    */
    Milliseconds graceOf (Timestamp now, const MeshUpdate& update, bool restored);

    /** @returns the grace of entries that are missing one by one: zero if the source is known to
                 have answered while, by `grace`, they can have expired in an outage
    */
    Milliseconds confirmedGrace (Timestamp now, Milliseconds grace) const;

    /** @returns true if so many of the usable instances are missing at once that their entries have
                 expired
    */
    bool expiredTogether (std::size_t missing) const;

    /** @returns true if most entries are missing at once from an update of another node */
    bool expiredTogether (const MeshUpdate& update) const;
    std::vector<std::string> takeInstances (Timestamp now, MeshUpdate& update, Milliseconds grace);
    std::vector<EvacuationChange> takeEvacuations (Timestamp now, const MeshUpdate& update);

    ConfigurationHolder holder;
    InstanceDirectory instances;
    std::uint64_t servicesVersion = 0; /**< Version that the directory's services are of. */
    ZoneEvacuations evacuations;
    SourceContinuity continuity;
    SourcePosition reachedPosition;
    bool hasKnownSource = false;
};

} // namespace copperlead::mesh
