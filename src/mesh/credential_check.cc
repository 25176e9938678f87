#include "mesh/credential_check.h"

#include <algorithm>

namespace copperlead::mesh
{
namespace
{

// Number of route priorities that are distinguished within one tenant priority.
constexpr int routePriorityLevels = 100;

} // namespace

CredentialResult checkCredential (const CredentialSettings& settings, const CredentialFacts& facts)
{
    const auto& tenants = facts.routes.tenants();

    if (tenants.empty())
        return {};

    const auto confirmedWithin = [&] (Milliseconds age)
    {
        return facts.confirmationAgeMs &&
               *facts.confirmationAgeMs <= static_cast<double> (age.count());
    };

    if (facts.credential.empty())
    {
        if (facts.route.isPublic || facts.fromInstance)
            return {};

        return { confirmedWithin (settings.maxConfirmationAge)
                     ? CredentialVerdict::missing
                     : CredentialVerdict::configurationMayBeStale,
                 nullptr };
    }

    const auto* tenant = tenants.find (facts.credential);

    if (tenant == nullptr)
    {
        if (facts.route.isPublic)
            return {};

        return { confirmedWithin (settings.maxConfirmationAge)
                     ? CredentialVerdict::unknownCredential
                     : CredentialVerdict::configurationMayBeStale,
                 nullptr };
    }

    if (settings.failClosed && ! confirmedWithin (settings.revokeTime))
        return { CredentialVerdict::configurationMayBeStale, tenant };

    return { CredentialVerdict::accepted, tenant };
}

int priorityOf (const Route& route, const Tenant* tenant)
{
    if (tenant == nullptr || ! tenant->priority)
        return route.priority;

    return *tenant->priority * routePriorityLevels +
           std::clamp (route.priority, 0, routePriorityLevels - 1);
}

} // namespace copperlead::mesh
