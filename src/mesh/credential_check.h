/** Authenticates a request by its key and determines its tenant. Performs no I/O. */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "mesh/mesh_configuration.h"

namespace copperlead::mesh
{

enum class CredentialVerdict : std::uint8_t
{
    accepted,
    missing,                /**< The request has no key and its route isn't public. */
    unknownCredential,      /**< No tenant of the up-to-date configuration has the key. */
    configurationMayBeStale /**< The configuration may be stale: the key may be new or revoked. */
};

inline constexpr std::string_view credentialVerdictNames[] = {
    "accepted", "no key", "unknown key", "what is known of the keys may be out of date"
};

struct CredentialSettings
{
    /** Maximum age of the source's last confirmation of the configuration for which an unknown key
        or route is known not to exist. After that it may have been added in the meantime.
    */
    Milliseconds maxConfirmationAge{ 2500 };

    /** Maximum age of the confirmation for which a known key is taken to be unrevoked. */
    Milliseconds revokeTime{ 5000 };
    bool failClosed = false; /**< Whether known keys are rejected after `revokeTime`. */
};

/** A request's credential, and the state of its node that the decision depends on. */
struct CredentialFacts
{
    const RouteTable& routes;
    const Route& route;
    std::string_view credential; /**< Empty when the request has none. */
    bool fromInstance = false;   /**< Whether the node's local instance sent it. */

    /** Time since the source last confirmed that the configuration is the newest. */
    std::optional<double> confirmationAgeMs{};
};

struct CredentialResult
{
    CredentialVerdict verdict = CredentialVerdict::accepted;
    const Tenant* tenant = nullptr; /**< Null for requests without a tenant, as on public routes. */
};

/** Checks a request's credential. A request without a key is accepted on public routes and from the
    node's local instance, which sends it on behalf of a request that has been checked already.
*/
CredentialResult checkCredential (const CredentialSettings& settings, const CredentialFacts& facts);

/** The priority of a request, where 0 is the most urgent. The tenant's priority takes precedence
    over the route's.
*/
int priorityOf (const Route& route, const Tenant* tenant);

} // namespace copperlead::mesh
