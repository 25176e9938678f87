/** The tenants of a mesh: their credentials, request priorities and quotas. The data is immutable
    once it has been checked.
*/
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "mesh/credential.h"

namespace copperlead::mesh
{

/** A tenant's rate limit, which applies to the sum over all nodes. */
struct Quota
{
    double requestsPerSecond = 0; /**< 0 means unlimited. */
    double burst = 0;             /**< Requests allowed at once beyond the rate. */

    bool isLimited() const { return requestsPerSecond > 0; }
    bool operator== (const Quota&) const = default;
};

struct Tenant
{
    std::string name;
    std::optional<int> priority; /**< Takes precedence over the routes' priorities. */
    Quota quota;
    std::vector<CredentialDigest> credentials;
    std::vector<std::string> allowedRegions; /**< Empty means that all regions are allowed. */

    bool operator== (const Tenant&) const = default;
};

/** Validates the tenants of a configuration.
    @returns kBadValue, kOutOfRange or kDuplicateRoute, whose place names the tenant, if a name or
             key is empty or duplicated, or if a limit is out of range
*/
Result<Done> checkTenants (const std::vector<Tenant>& tenants);

/** Looks up tenants by credential or by name. Safe to call from any thread. */
class TenantTable
{
public:
    /** @param tenants  must outlive the table */
    explicit TenantTable (const std::vector<Tenant>& tenants);

    /** True when the mesh has no tenants, in which case no request needs a key. */
    bool empty() const { return byCredential.empty() && byName.empty(); }

    /** @returns the tenant that holds the key, or nullptr */
    const Tenant* find (std::string_view credential) const;

    /** @returns the tenant with the given name, or nullptr */
    const Tenant* findByName (std::string_view name) const;

private:
    std::unordered_map<CredentialDigest, const Tenant*, CredentialDigestHash> byCredential;
    std::unordered_map<std::string_view, const Tenant*> byName;
};

} // namespace copperlead::mesh
