/** What changed at the discovery source, in the product's own types: from the source itself, or
   from a node that has read it.
*/
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "mesh/instance_directory.h"
#include "mesh/mesh_configuration.h"
#include "mesh/zone_evacuations.h"

namespace copperlead::mesh
{

/** An instance's entry as it is now, or that it is gone. */
struct InstanceChange
{
    Instance instance; /**< Only its id counts when it is gone. */
    SourcePosition position;
    bool gone = false;
    bool trusted = true; /**< Of one that is gone: the source was sound when its entry vanished. */
    bool retained = false; /**< It is leaving although a restored source lists it as ready. */
};

/** A later configuration: whole, or the routes and tenants in which it differs from an earlier
    version.
*/
struct ConfigurationChange
{
    SourcePosition position;
    std::uint64_t baseVersion = 0; /**< 0: whole. */
    /** Holds only added and changed routes and tenants unless whole. */
    MeshConfiguration content;
    std::vector<std::string> removedRoutes{}, removedTenants{};
};

struct MeshUpdate
{
    bool complete = false; /**< Holds every instance: those it lacks are gone. */
    bool trusted = true;   /**< Of those that a complete update lacks. */
    SourcePosition at;     /**< The source's position up to which nothing is missing. */
    std::vector<InstanceChange> instances;
    std::vector<EvacuationChange> evacuations;
    std::optional<ConfigurationChange> configuration;
};

/** Finds what `next` changes against `base`. */
ConfigurationChange difference (const MeshConfiguration& base, const MeshConfiguration& next,
                                SourcePosition position);

/** Rebuilds the whole configuration.
    @returns kUnknownBase when `base` isn't the version that the change was made against
*/
Result<MeshConfiguration> rebuild (const MeshConfiguration* base, ConfigurationChange change);

/** Codec of updates between nodes: cereal's portable binary form, compressed when that is shorter.
 */
std::string encode (const MeshUpdate& update);

/** @returns kBadFrame or kOversized for damaged bytes */
Result<MeshUpdate> decodeMeshUpdate (const std::string& bytes);

} // namespace copperlead::mesh
