/** What a node knows of the mesh: its configuration, the directory of instances, and up to which
    position of the source nothing is missing. Takes updates from the source or from other nodes and
    gives those that others lack. Deciding code without I/O.
*/
#pragma once

#include <optional>

#include "mesh/configuration_holder.h"
#include "mesh/mesh_update.h"

namespace copperlead::mesh
{

/** What became of the configuration that an update held. */
struct ConfigurationOutcome
{
    std::optional<ConfigurationVerdict> verdict; /**< Empty: it was refused by `error`. */
    Error error;
    std::uint64_t version = 0, before = 0;
    SourcePosition position;
};

struct UpdateOutcome
{
    bool listingIgnored = false;   /**< The update is a listing older than the position reached. */
    bool restored = false;         /**< The update is the first of a later epoch. */
    bool instancesChanged = false; /**< Or which of them may be used. */
    std::vector<EvacuationChange> evacuations; /**< Zones that were evacuated or given back. */
    std::optional<ConfigurationOutcome> configuration; /**< Empty: the update held none. */
    std::vector<std::string> wentBack; /**< Ids of instances whose entries tell of an earlier start
                                          than before. */
};

/** Not thread-safe. */
class MeshState
{
public:
    UpdateOutcome take (Timestamp now, MeshUpdate update);

    /** Ends expired lapses and retentions. @returns the evacuations that changed */
    std::vector<EvacuationChange> advance (Timestamp now);

    /** The changes that a node lacks that has reached `position` and runs `version` (0: none). */
    MeshUpdate changesSince (SourcePosition position, std::uint64_t version) const;

    const ConfigurationHolder& configurations() const { return holder; }
    InstanceDirectory& directory() { return instances; }
    std::set<std::string> evacuatedZones() const { return evacuations.zones(); }
    SourcePosition reached() const { return at; }

private:
    ConfigurationOutcome takeConfiguration (ConfigurationChange change);
    std::vector<std::string> takeInstances (Timestamp now, MeshUpdate& update, bool trusted);
    std::vector<EvacuationChange> takeEvacuations (Timestamp now, const MeshUpdate& update);

    ConfigurationHolder holder;
    InstanceDirectory instances;
    ZoneEvacuations evacuations;
    SourcePosition at;
};

} // namespace copperlead::mesh
