/** Changes at the discovery source, independent of the source's format. They come from the source
    itself or from a node that has read it.
*/
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "mesh/instance_directory.h"
#include "mesh/mesh_configuration.h"
#include "mesh/source_follower.h"
#include "mesh/zone_evacuations.h"

namespace copperlead::mesh
{

/** The current entry of an instance, or its removal. */
struct InstanceChange
{
    Instance instance; /**< Only its id is valid if it is gone. */
    SourcePosition position;
    bool removed = false;

    /** For a removal: time for which the instance stays usable, because its entry may have expired
        in an outage of the source; 0 if it is leaving. Empty if MeshUpdate::absence tells.
    */
    std::optional<Milliseconds> grace{};
    bool retained = false; /**< It is leaving although a restored source lists it as ready. */
};

/** A later configuration, either complete or as the routes and tenants that differ from an earlier
    version.
*/
struct ConfigurationChange
{
    SourcePosition position;
    std::uint64_t baseVersion = 0; /**< 0 if `content` is complete. */

    /** Contains only added and changed routes and tenants unless complete. */
    MeshConfiguration content;
    std::vector<std::string> removedRoutes{}, removedTenants{};
};

struct MeshUpdate
{
    bool complete = false; /**< True if every instance is included; all others are gone. */

    /** For an update from the source: what it means that entries are missing. */
    AbsenceEvidence absence{};
    SourcePosition position; /**< Position of the source up to which the update is complete. */
    std::vector<InstanceChange> instances;
    std::vector<EvacuationChange> evacuations;
    std::optional<ConfigurationChange> configuration;
};

/** @returns the changes from `base` to `next` */
ConfigurationChange difference (const MeshConfiguration& base, const MeshConfiguration& next,
                                SourcePosition position);

/** Rebuilds the complete configuration.
    @returns kUnknownBase if `base` isn't the version on which the change is based
*/
Result<MeshConfiguration> rebuild (const MeshConfiguration* base, ConfigurationChange change);

/** Encodes an update for another node in cereal's portable binary format, compressed
    unless it is small.
*/
std::string encode (const MeshUpdate& update);

/** @returns kBadFrame or kOversized for malformed input */
Result<MeshUpdate> decodeMeshUpdate (const std::string& bytes);

} // namespace copperlead::mesh
