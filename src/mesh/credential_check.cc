#include "mesh/credential_check.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

constexpr int routePriorities = 100; // Distinguished within one priority of tenants.

} // namespace

CredentialResult checkCredential (const CredentialSettings& settings, const CredentialFacts& facts)
{
    const auto& tenants = facts.routes.tenants();

    if (tenants.empty())
        return {};

    const auto youngerThan = [&] (Milliseconds age)
    { return facts.wordAgeMs && *facts.wordAgeMs <= static_cast<double> (age.count()); };

    if (facts.credential.empty())
    {
        if (facts.route.isPublic || facts.fromInstance)
            return {};

        return { youngerThan (settings.freshWord) ? CredentialVerdict::missing
                                                  : CredentialVerdict::wordTooOld,
                 nullptr };
    }

    const auto* tenant = tenants.find (facts.credential);

    if (tenant == nullptr)
    {
        if (facts.route.isPublic)
            return {};

        return { youngerThan (settings.freshWord) ? CredentialVerdict::unknownCredential
                                                  : CredentialVerdict::wordTooOld,
                 nullptr };
    }

    if (settings.failClosed && ! youngerThan (settings.revokeTime))
        return { CredentialVerdict::wordTooOld, tenant };

    return { CredentialVerdict::accepted, tenant };
}

int priorityOf (const Route& route, const Tenant* tenant)
{
    if (tenant == nullptr || ! tenant->priority)
        return route.priority;

    return *tenant->priority * routePriorities +
           std::clamp (route.priority, 0, routePriorities - 1);
}

} // namespace copperlead::mesh
