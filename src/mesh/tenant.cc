#include "mesh/tenant.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace copperlead::mesh
{
namespace
{

// No fleet comes near this rate, so a larger value is a configuration error.
constexpr double maxRequestsPerSecond = 1e9;

bool isValidLimit (double value)
{
    return std::isfinite (value) && value >= 0 && value <= maxRequestsPerSecond;
}

/** The name is sent to instances in a header field, so it must not contain control characters or
    begin or end with a space.
*/
bool isValidName (const std::string& name)
{
    return ! name.empty() &&
           std::all_of (name.begin(), name.end(),
                        [] (unsigned char c) { return c >= ' ' && c != 0x7f; }) &&
           name.front() != ' ' && name.back() != ' ';
}

Result<Done> checkTenant (const Tenant& tenant, const std::string& place)
{
    if (! isValidName (tenant.name))
        return Fail (ErrorKind::kBadValue, place,
                     "the name must be printable and must not begin or end with a space");

    if (! isValidLimit (tenant.quota.requestsPerSecond) || ! isValidLimit (tenant.quota.burst))
        return Fail (ErrorKind::kOutOfRange, place, "the limits must be between 0 and 1000000000");

    return Done{};
}

} // namespace

Result<Done> checkTenants (const std::vector<Tenant>& tenants)
{
    std::unordered_set<std::string_view> names;
    std::unordered_map<CredentialDigest, const Tenant*, CredentialDigestHash> holders;
    const auto emptyDigest = digestOf ("");

    for (const auto& tenant : tenants)
    {
        const auto place = "tenants." + tenant.name;
        BOOST_LEAF_CHECK (checkTenant (tenant, place));

        if (! names.insert (tenant.name).second)
            return Fail (ErrorKind::kDuplicateRoute, place, "another tenant has the same name");

        for (const auto& credential : tenant.credentials)
        {
            if (credential == emptyDigest)
                return Fail (ErrorKind::kBadValue, place, "the tenant has an empty key");

            const auto [holder, isNew] = holders.emplace (credential, &tenant);

            if (! isNew && holder->second != &tenant)
                return Fail (ErrorKind::kDuplicateRoute, place,
                             "tenant " + holder->second->name + " has the same key");
        }
    }

    return Done{};
}

TenantTable::TenantTable (const std::vector<Tenant>& tenants)
{
    for (const auto& tenant : tenants)
    {
        byName.emplace (tenant.name, &tenant);

        for (const auto& credential : tenant.credentials)
            byCredential.emplace (credential, &tenant);
    }
}

const Tenant* TenantTable::find (std::string_view credential) const
{
    const auto found = byCredential.find (digestOf (credential));
    return found == byCredential.end() ? nullptr : found->second;
}

const Tenant* TenantTable::findByName (std::string_view name) const
{
    const auto found = byName.find (name);
    return found == byName.end() ? nullptr : found->second;
}

} // namespace copperlead::mesh
