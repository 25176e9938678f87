/** The configuration of a mesh's proxies: routes by host and path prefix, the services that the
    routes refer to, the tenants, and the limits for clients. It is immutable once it has been
    checked; a proxy replaces its configuration by swapping a shared pointer.
*/
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "mesh/cold_start.h"
#include "mesh/tenant.h"

namespace copperlead::mesh
{

/** Whether a route's requests may be executed more than once. */
enum class Repeatability : std::uint8_t
{
    idempotent,    /**< May be executed any number of times. */
    nonIdempotent, /**< Executed at most once per client attempt. */
    upload,        /**< Like nonIdempotent, with a large request body. */
    download       /**< Like idempotent, with a large response body. */
};

/** Names of the Repeatability values in configurations, in declaration order. */
inline constexpr std::string_view repeatabilityNames[] = { "idempotent", "non_idempotent", "upload",
                                                           "download" };

/** A service that receives a share of a route's traffic. */
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1; /**< Relative to the weights of the route's other services. */

    bool operator== (const WeightedService&) const = default;
};

struct Route
{
    std::string name;
    std::string host;       /**< Lower case, without a port. */
    std::string pathPrefix; /**< Begins and ends with '/'. */
    Repeatability repeatability = Repeatability::nonIdempotent;
    Milliseconds timeout{};       /**< Maximum time that a request is held. */
    Milliseconds targetLatency{}; /**< A response within this time has its full value. */
    int priority = 0;             /**< 0 is the most urgent. */
    int maxAttempts = 1;          /**< Number of instances that a request may be sent to. */
    std::vector<WeightedService> services;
    bool isPublic = false; /**< Requests need no key, even if the mesh has tenants. */
    std::vector<std::string> allowedRegions; /**< Empty means that all regions are allowed. */

    bool operator== (const Route&) const = default;
    bool mayRepeat() const
    {
        return repeatability == Repeatability::idempotent ||
               repeatability == Repeatability::download;
    }
};

struct ServiceSettings
{
    std::string healthPath;
    int maxConnections = 0; /**< Per instance, over all callers; 0 means unlimited. */
    ColdProfile cold{};
};

/** Limits on the size of client requests and on the time that clients may be idle. */
struct ClientLimits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 67108864;
    Milliseconds headerTimeout{ 3000 };
    Milliseconds idleTimeout{ 15000 };
};

struct MeshConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceSettings> services;
    std::vector<Tenant> tenants;
    ClientLimits limits;
};

using ConfigurationPointer = std::shared_ptr<const MeshConfiguration>;

/** Validates everything that a proxy relies on.
    @returns kBadRoute, kUnknownService, kWeightsSum, kOutOfRange, kBadValue or kDuplicateRoute,
             whose place names the route or tenant
*/
Result<ConfigurationPointer> checkConfiguration (MeshConfiguration configuration);

/** Looks up the route and the tenant of a request. Immutable, hence safe to use from any thread. */
class RouteTable
{
public:
    explicit RouteTable (ConfigurationPointer source);

    /** @param host    the Host header as received; its port and letter case are ignored
        @param target  the request target; the query string is ignored
        @returns the route with the longest matching prefix, or nullptr
    */
    const Route* find (std::string_view host, std::string_view target) const;

    const MeshConfiguration& configuration() const { return *config; }
    const ConfigurationPointer& pointer() const { return config; }
    const TenantTable& tenants() const { return tenantTable; }

private:
    ConfigurationPointer config;
    std::unordered_map<std::string, const Route*> byHostAndPrefix;
    TenantTable tenantTable;
};

/** Converts a host name to lower case and removes its port. */
std::string canonicalHost (std::string_view host);

} // namespace copperlead::mesh
