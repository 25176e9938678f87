/** Holds the running configuration of a proxy and accepts only later versions. */
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
    same, /**< Ignored: the version is already running. */
    older /**< Refused: a proxy never reverts to an earlier version. */
};

/** Not thread-safe. */
class ConfigurationHolder
{
public:
    /** Checks a configuration and applies it if its version is later than the running one.
        @returns the verdict, or an error of checkConfiguration()
    */
    Result<ConfigurationVerdict> take (MeshConfiguration configuration);

    /** Routes of the running configuration; null before the first one. */
    const std::shared_ptr<const RouteTable>& routes() const { return current; }
    std::uint64_t version() const;

    /** Finds a recent version, as the base of changes for another node.
        @returns null if the version isn't among the latest ones
    */
    ConfigurationPointer earlier (std::uint64_t version) const;

private:
    static constexpr std::size_t historySize = 8;

    std::shared_ptr<const RouteTable> current;
    std::deque<ConfigurationPointer> history;
};

} // namespace copperlead::mesh
