/** Decides by the key that a request shows, or doesn't, whether it may go on, and whose it is.
    Deciding code without I/O.
*/
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
    missing,           /**< It shows no key, and its route isn't public. */
    unknownCredential, /**< No tenant holds the key, by a word that is the latest. */
    wordTooOld         /**< The key may be new, or may have been taken away meanwhile. */
};

inline constexpr std::string_view credentialVerdictNames[] = {
    "accepted", "no key", "unknown key", "what is known of the keys may be out of date"
};

struct CredentialSettings
{
    /** Without a word of the source that is this young an unknown key, or route, may be a new one.
     */
    Milliseconds freshWord{ 2500 };

    /** Without a word that is this young a known key may have been taken away. */
    Milliseconds revokeTime{ 5000 };
    bool failClosed = false; /**< Then keys aren't accepted any more; otherwise they still are. */
};

/** What a request shows, and what its node knows. */
struct CredentialFacts
{
    const RouteTable& routes;
    const Route& route;
    std::string_view credential; /**< Empty: none. */
    bool fromInstance = false;   /**< The instance beside the node sent it. */
    std::optional<double>
        wordAgeMs{}; /**< Of the last word that the configuration is the newest. */
};

struct CredentialResult
{
    CredentialVerdict verdict = CredentialVerdict::accepted;
    const Tenant* tenant = nullptr; /**< Null: nobody's, as on public routes and calls. */
};

/** A request without a key is accepted on public routes, and from the instance beside the node,
   which makes it on behalf of one that has been checked.
*/
CredentialResult checkCredential (const CredentialSettings& settings, const CredentialFacts& facts);

/** How urgent a request is: its tenant's priority goes before its route's. 0 is the most urgent. */
int priorityOf (const Route& route, const Tenant* tenant);

} // namespace copperlead::mesh
