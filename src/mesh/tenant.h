/** The tenants of a mesh: whose requests are whose, how urgent they are, and how many each may
   send. Immutable once it is checked.
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

/** What a tenant may send, over all nodes together. */
struct Quota
{
    double requestsPerSecond = 0; /**< 0: no limit. */
    double burst = 0;             /**< Requests beyond that at once. */

    bool limits() const { return requestsPerSecond > 0; }
    bool operator== (const Quota&) const = default;
};

struct Tenant
{
    std::string name;
    std::optional<int> priority; /**< In place of the routes' priorities. */
    Quota quota;
    std::vector<CredentialDigest> credentials;
    std::vector<std::string> allowedRegions; /**< Empty: its requests may run anywhere. */

    bool operator== (const Tenant&) const = default;
};

/** @returns kBadValue, kOutOfRange or kDuplicateRoute whose place names the tenant: a name or key
             that is empty or given twice, a limit that is no sane number
*/
Result<Done> checkTenants (const std::vector<Tenant>& tenants);

/** Finds tenants by what requests show. Any thread. */
class TenantTable
{
public:
    /** @param tenants  outlive this */
    explicit TenantTable (const std::vector<Tenant>& tenants);

    /** True when the mesh has no tenants: then no request needs a key. */
    bool empty() const { return byCredential.empty() && byName.empty(); }

    /** @returns the tenant that holds the key, or nullptr */
    const Tenant* find (std::string_view credential) const;

    /** @returns the tenant of that name, or nullptr */
    const Tenant* named (std::string_view name) const;

private:
    std::unordered_map<CredentialDigest, const Tenant*, CredentialDigestHash> byCredential;
    std::unordered_map<std::string_view, const Tenant*> byName;
};

} // namespace copperlead::mesh
