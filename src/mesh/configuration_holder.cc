#include "mesh/configuration_holder.h"

namespace copperlead::mesh
{

std::uint64_t ConfigurationHolder::version() const
{
    return current == nullptr ? 0 : current->configuration().version;
}

Result<ConfigurationVerdict> ConfigurationHolder::take (MeshConfiguration configuration)
{
    if (current != nullptr && configuration.version <= version())
        return configuration.version == version() ? ConfigurationVerdict::same
                                                  : ConfigurationVerdict::older;

    BOOST_LEAF_AUTO (checked, checkConfiguration (std::move (configuration)));
    current = std::make_shared<const RouteTable> (checked);
    history.push_back (checked);

    if (history.size() > historySize)
        history.pop_front();

    return ConfigurationVerdict::taken;
}

ConfigurationPointer ConfigurationHolder::earlier (std::uint64_t wanted) const
{
    for (const auto& config : history)
        if (config->version == wanted)
            return config;

    return nullptr;
}

} // namespace copperlead::mesh
