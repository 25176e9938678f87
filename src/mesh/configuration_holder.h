/** Holds the configuration that a proxy runs and lets it move only to later versions. */
#pragma once

#include <deque>
#include <memory>
#include <string_view>

#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{

enum class ConfigurationVerdict : std::uint8_t
{
    taken,
    same, /**< The version that runs. */
    older /**< Refused: a proxy never goes back. */
};

/** Not thread-safe. */
class ConfigurationHolder
{
public:
    /** @returns taken when the version is later than the running one; kinds of checkConfiguration()
     */
    Result<ConfigurationVerdict> take (MeshConfiguration configuration);

    /** Null before the first one. */
    const std::shared_ptr<const RouteTable>& routes() const { return current; }
    std::uint64_t version() const;

    /** A version that ran lately, for which another node may want the changes; null if forgotten.
     */
    ConfigurationPointer earlier (std::uint64_t version) const;

private:
    static constexpr std::size_t historySize = 8;

    std::shared_ptr<const RouteTable> current;
    std::deque<ConfigurationPointer> history;
};

} // namespace copperlead::mesh
