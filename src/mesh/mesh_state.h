/** A node's view of the mesh: the configuration, the directory of instances, and the position of
    the source up to which both are complete. Applies updates from the source or from other nodes,
    and provides the updates that other nodes lack. Contains no I/O.
*/
#pragma once

#include <optional>

#include "mesh/configuration_holder.h"
#include "mesh/mesh_update.h"

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
    UpdateOutcome take (Timestamp now, MeshUpdate update);

    /** Ends expired lapses and retentions.
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
    /** @returns the time for which instances stay usable that the update removes or lacks, unless a
                 removal states it itself
    */
    Milliseconds graceOf (const MeshUpdate& update, bool restored) const;
    std::vector<std::string> takeInstances (Timestamp now, MeshUpdate& update, Milliseconds grace);
    std::vector<EvacuationChange> takeEvacuations (Timestamp now, const MeshUpdate& update);

    ConfigurationHolder holder;
    InstanceDirectory instances;
    ZoneEvacuations evacuations;
    SourcePosition reachedPosition;
    bool hasKnownSource = false;
};

} // namespace copperlead::mesh
