#include "mesh/mesh_update.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <sstream>

#include "snapshot/compression.h"

namespace copperlead::mesh
{
namespace
{

constexpr std::size_t maxUpdateBytes = 64 << 20;
constexpr std::size_t compressionThreshold = 512;
constexpr char plainFormat = 'p', compressedFormat = 'z';

/** Indexes routes or tenants by name. */
template <typename Item>
std::map<std::string_view, const Item*> byName (const std::vector<Item>& items)
{
    std::map<std::string_view, const Item*> found;

    for (const auto& item : items)
        found.emplace (item.name, &item);

    return found;
}

/** Finds the items of `next` that are missing from or different in `base`, and the names of the
    items that only `base` contains.
*/
template <typename Item>
void findChanges (const std::vector<Item>& base, const std::vector<Item>& next,
                  std::vector<Item>& changed, std::vector<std::string>& removed)
{
    auto earlier = byName (base);

    for (const auto& item : next)
    {
        const auto found = earlier.find (item.name);

        if (found == earlier.end() || ! (*found->second == item))
            changed.push_back (item);

        if (found != earlier.end())
            earlier.erase (found);
    }

    for (const auto& [name, item] : earlier)
        removed.emplace_back (name);
}

/** Appends the items of `base` that a change neither replaces nor removes. */
template <typename Item>
void keepUnchanged (const std::vector<Item>& base, const std::vector<std::string>& removed,
                    std::vector<Item>& items)
{
    auto replaced = byName (items);
    std::vector<Item> kept;

    for (const auto& item : base)
        if (! replaced.contains (item.name) &&
            std::find (removed.begin(), removed.end(), item.name) == removed.end())
            kept.push_back (item);

    items.insert (items.end(), std::make_move_iterator (kept.begin()),
                  std::make_move_iterator (kept.end()));
}

bool isLapsed (const InstanceChange& change)
{
    return change.grace.value_or (Milliseconds (0)) > Milliseconds (0);
}

} // namespace

template <typename Archive>
void serialize (Archive& archive, WeightedService& part)
{
    archive (part.service, part.weight);
}

template <typename Archive>
void serialize (Archive& archive, Route& route)
{
    archive (route.name, route.host, route.pathPrefix, route.repeatability, route.timeout,
             route.targetLatency, route.priority, route.maxAttempts, route.services, route.isPublic,
             route.allowedRegions);
}

template <typename Archive>
void serialize (Archive& archive, Quota& quota)
{
    archive (quota.requestsPerSecond, quota.burst);
}

template <typename Archive>
void serialize (Archive& archive, Tenant& tenant)
{
    archive (tenant.name, tenant.priority, tenant.quota, tenant.credentials, tenant.allowedRegions);
}

template <typename Archive>
void serialize (Archive& archive, ServiceSettings& service)
{
    archive (service.healthPath, service.maxConnections, service.cold.coldPeriod,
             service.cold.startsPerSecond);
}

template <typename Archive>
void serialize (Archive& archive, ClientLimits& limits)
{
    archive (limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout);
}

template <typename Archive>
void serialize (Archive& archive, MeshConfiguration& config)
{
    archive (config.version, config.routes, config.services, config.tenants, config.limits);
}

template <typename Archive>
void serialize (Archive& archive, Instance& instance)
{
    archive (instance.id, instance.service, instance.zone, instance.address.ip,
             instance.address.port, instance.slots, instance.draining, instance.createdAt,
             instance.startTimeMs, instance.coldRemaining);
}

template <typename Archive>
void serialize (Archive& archive, InstanceChange& change)
{
    // False if the instance stays usable; archiveGracePeriods() tells for how long.
    bool isFinal = ! isLapsed (change);
    archive (change.instance, change.position, change.removed, isFinal, change.retained);

    if constexpr (Archive::is_loading::value)
        change.grace = isFinal ? Milliseconds (0) : InstanceDirectory::lapsedGracePeriod;
}

template <typename Archive>
void serialize (Archive& archive, EvacuationChange& change)
{
    archive (change.zone, change.position, change.ended, change.retained);
}

template <typename Archive>
void serialize (Archive& archive, ConfigurationChange& change)
{
    archive (change.position, change.baseVersion, change.content, change.removedRoutes,
             change.removedTenants);
}

template <typename Archive>
void serialize (Archive& archive, MeshUpdate& update)
{
    bool isFinal = true; // Nodes pass on what missing entries mean with each instance.
    archive (update.complete, isFinal, update.position, update.instances, update.evacuations,
             update.configuration);
}

/** Archives the grace periods of lapsed instances behind an update, in the order of its changes.
    Nodes of an earlier release neither send nor read them.
*/
template <typename Archive, typename Update>
void archiveGracePeriods (Archive& archive, Update& update)
{
    for (auto& change : update.instances)
        if (isLapsed (change))
            archive (*change.grace);
}

ConfigurationChange difference (const MeshConfiguration& base, const MeshConfiguration& next,
                                SourcePosition position)
{
    ConfigurationChange change;
    change.position = position;
    change.baseVersion = base.version;
    change.content.version = next.version;
    change.content.services = next.services;
    change.content.limits = next.limits;
    findChanges (base.routes, next.routes, change.content.routes, change.removedRoutes);
    findChanges (base.tenants, next.tenants, change.content.tenants, change.removedTenants);
    return change;
}

Result<MeshConfiguration> rebuild (const MeshConfiguration* base, ConfigurationChange change)
{
    if (change.baseVersion == 0)
        return std::move (change.content);

    if (base == nullptr || base->version != change.baseVersion)
        return Fail (ErrorKind::kUnknownBase, "version " + std::to_string (change.content.version),
                     "is based on a version that isn't running: " +
                         std::to_string (change.baseVersion));

    auto rebuilt = std::move (change.content);
    keepUnchanged (base->routes, change.removedRoutes, rebuilt.routes);
    keepUnchanged (base->tenants, change.removedTenants, rebuilt.tenants);
    return rebuilt;
}

std::string encode (const MeshUpdate& update)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive (stream);
    archive (update);
    archiveGracePeriods (archive, update);
    auto plain = std::move (stream).str();

    if (plain.size() < compressionThreshold)
        return plainFormat + plain;

    return compressedFormat + Compress (plain);
}

Result<MeshUpdate> decodeMeshUpdate (const std::string& bytes)
{
    if (bytes.empty() || (bytes[0] != plainFormat && bytes[0] != compressedFormat))
        return Fail (ErrorKind::kBadFrame, "update", "unknown encoding");

    auto plain = bytes.substr (1);

    if (bytes[0] == compressedFormat)
    {
        BOOST_LEAF_AUTO (expanded, Decompress (plain, maxUpdateBytes));
        plain = std::move (expanded);
    }

    MeshUpdate update;

    try
    {
        std::istringstream stream (std::move (plain));
        cereal::PortableBinaryInputArchive archive (stream);
        archive (update);

        if (stream.peek() != std::istringstream::traits_type::eof())
            archiveGracePeriods (archive, update);
    }
    catch (const std::exception& error)
    {
        return Fail (ErrorKind::kBadFrame, "update", error.what());
    }

    return update;
}

} // namespace copperlead::mesh
