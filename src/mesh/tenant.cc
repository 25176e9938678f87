#include "mesh/tenant.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace copperlead::mesh
{
namespace
{

constexpr double mostRequestsPerSecond = 1e9; // Far beyond any fleet; more is a slip of the pen.

bool isLimit (double value)
{
    return std::isfinite (value) && value >= 0 && value <= mostRequestsPerSecond;
}

/** The name is sent to instances in a header field: no control characters, no blanks around it. */
bool isName (const std::string& name)
{
    return ! name.empty() &&
           std::all_of (name.begin(), name.end(),
                        [] (unsigned char c) { return c >= ' ' && c != 0x7f; }) &&
           name.front() != ' ' && name.back() != ' ';
}

Result<Done> checkTenant (const Tenant& tenant, const std::string& place)
{
    if (! isName (tenant.name))
        return Fail (ErrorKind::kBadValue, place,
                     "the name must be printable, without blanks around it");

    if (! isLimit (tenant.quota.requestsPerSecond) || ! isLimit (tenant.quota.burst))
        return Fail (ErrorKind::kOutOfRange, place, "the limits must be 0 to 1000000000");

    return Done{};
}

} // namespace

Result<Done> checkTenants (const std::vector<Tenant>& tenants)
{
    std::unordered_set<std::string_view> names;
    std::unordered_map<CredentialDigest, const Tenant*, CredentialDigestHash> holders;
    const auto none = digestOf ("");

    for (const auto& tenant : tenants)
    {
        const auto place = "tenants." + tenant.name;
        BOOST_LEAF_CHECK (checkTenant (tenant, place));

        if (! names.insert (tenant.name).second)
            return Fail (ErrorKind::kDuplicateRoute, place, "another tenant has the same name");

        for (const auto& credential : tenant.credentials)
        {
            if (credential == none)
                return Fail (ErrorKind::kBadValue, place, "a key is empty");

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

const Tenant* TenantTable::named (std::string_view name) const
{
    const auto found = byName.find (name);
    return found == byName.end() ? nullptr : found->second;
}

} // namespace copperlead::mesh
