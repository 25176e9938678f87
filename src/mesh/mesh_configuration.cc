#include "mesh/mesh_configuration.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace copperlead::mesh
{
namespace
{

constexpr Milliseconds maxTimeout{ 3'600'000 };
constexpr int maxAttemptsLimit = 100;

std::string routeKey (std::string_view host, std::string_view prefix)
{
    return std::string (host).append (1, ' ').append (prefix);
}

Result<Done> checkServices (const MeshConfiguration& config, const Route& route,
                            const std::string& place)
{
    std::uint64_t sum = 0;

    for (const auto& part : route.services)
    {
        if (! config.services.contains (part.service))
            return Fail (ErrorKind::kUnknownService, place,
                         "service \"" + part.service + "\" is not defined");

        sum += part.weight;
    }

    if (sum == 0)
        return Fail (ErrorKind::kWeightsSum, place, "no service has a weight greater than 0");

    return Done{};
}

Result<Done> checkRoute (const MeshConfiguration& config, const Route& route)
{
    const auto place = "routes." + route.name;
    const auto& prefix = route.pathPrefix;

    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return Fail (ErrorKind::kBadRoute, place, "the path prefix must begin and end with '/'");

    if (route.host.empty())
        return Fail (ErrorKind::kBadRoute, place, "the host is missing");

    if (route.timeout <= Milliseconds (0) || route.timeout > maxTimeout)
        return Fail (ErrorKind::kOutOfRange, place, "the timeout must be between 1 and 3600000 ms");

    if (route.targetLatency <= Milliseconds (0) || route.targetLatency > maxTimeout)
        return Fail (ErrorKind::kOutOfRange, place,
                     "the target latency must be between 1 and 3600000 ms");

    if (route.maxAttempts < 1 || route.maxAttempts > maxAttemptsLimit)
        return Fail (ErrorKind::kOutOfRange, place,
                     "the maximum number of attempts must be between 1 and 100");

    return checkServices (config, route, place);
}

} // namespace

Result<ConfigurationPointer> checkConfiguration (MeshConfiguration configuration)
{
    std::set<std::string> keys;

    for (const auto& route : configuration.routes)
    {
        BOOST_LEAF_CHECK (checkRoute (configuration, route));

        if (! keys.insert (routeKey (route.host, route.pathPrefix)).second)
            return Fail (ErrorKind::kDuplicateRoute, "routes." + route.name,
                         "another route has the same host and path prefix");
    }

    BOOST_LEAF_CHECK (checkTenants (configuration.tenants));
    return std::make_shared<const MeshConfiguration> (std::move (configuration));
}

std::string canonicalHost (std::string_view host)
{
    if (const auto colon = host.rfind (':');
        colon != std::string_view::npos && host.find (']', colon) == std::string_view::npos)
        host = host.substr (0, colon);

    std::string lower (host);
    std::transform (lower.begin(), lower.end(), lower.begin(),
                    [] (unsigned char c) { return static_cast<char> (std::tolower (c)); });
    return lower;
}

RouteTable::RouteTable (ConfigurationPointer source)
    : config (std::move (source))
    , tenantTable (config->tenants)
{
    for (const auto& route : config->routes)
        byHostAndPrefix.emplace (routeKey (route.host, route.pathPrefix), &route);
}

const Route* RouteTable::find (std::string_view host, std::string_view target) const
{
    const auto path = target.substr (0, target.find ('?'));
    auto key = routeKey (canonicalHost (host), path);
    const auto pathBegin = key.size() - path.size();

    for (auto slash = key.rfind ('/'); slash != std::string::npos && slash >= pathBegin;
         slash = key.rfind ('/', slash - 1))
    {
        key.resize (slash + 1);

        if (const auto found = byHostAndPrefix.find (key); found != byHostAndPrefix.end())
            return found->second;
    }

    return nullptr;
}

} // namespace copperlead::mesh
