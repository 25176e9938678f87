/** The configuration that the proxies of a mesh run: routes by host and path prefix, the services
    they name, and the limits that clients are held to. Immutable once it is checked; a proxy swaps
    a shared pointer to it.
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

/** Whether a request of a route may run more than once. */
enum class Repeatability : std::uint8_t
{
    idempotent,    /**< May run any number of times. */
    nonIdempotent, /**< At most once for each client attempt. */
    upload,        /**< As nonIdempotent, with a large body. */
    download       /**< As idempotent, with a large answer. */
};

/** The names of the values above, as configurations spell them, in their order. */
inline constexpr std::string_view repeatabilityNames[] = { "idempotent", "non_idempotent", "upload",
                                                           "download" };

/** One part of a route's traffic. */
struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1; /**< Relative to the other parts' weights. */

    bool operator== (const WeightedService&) const = default;
};

struct Route
{
    std::string name;
    std::string host;       /**< Lower case, without a port. */
    std::string pathPrefix; /**< Begins and ends with '/'. */
    Repeatability repeatability = Repeatability::nonIdempotent;
    Milliseconds timeout{};       /**< Longest time that a request is held. */
    Milliseconds targetLatency{}; /**< An answer within it has its full value. */
    int priority = 0;             /**< 0 is the most urgent. */
    int maxAttempts = 1;          /**< Instances that one request may be sent to. */
    std::vector<WeightedService> services;
    bool isPublic = false;                   /**< Needs no key where the mesh has tenants. */
    std::vector<std::string> allowedRegions; /**< Empty: it may run anywhere. */

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
    int maxConnections = 0; /**< Of one instance, over all callers; 0 is unlimited. */
    ColdProfile cold{};
};

/** What a client may send, and for how long it may stay silent. */
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

/** Checks everything that a proxy relies on.
    @returns kBadRoute, kUnknownService, kWeightsSum, kOutOfRange, kBadValue or kDuplicateRoute,
             whose place names the route, service or tenant.
*/
Result<ConfigurationPointer> checkConfiguration (MeshConfiguration configuration);

/** Finds the route and the tenant of a request. Immutable; any thread. */
class RouteTable
{
public:
    explicit RouteTable (ConfigurationPointer source);

    /** @param host    the Host header as received; its port and the case of its letters don't
       matter
        @param target  the request target; what follows a '?' isn't matched
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

/** Lower-cases a host name and drops its port. */
std::string canonicalHost (std::string_view host);

} // namespace copperlead::mesh
