/** Keys that identify the tenant of a client's requests. A key is a secret, so only its digest is
    stored and sent between nodes; memory dumps, logs and messages don't disclose the key.
*/
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace copperlead::mesh
{

/** The first 16 bytes of a key's SHA-256 hash. */
using CredentialDigest = std::array<std::uint8_t, 16>;

CredentialDigest digestOf (std::string_view credential);

/** Uses the leading bytes of the digest, which are already uniformly distributed. */
struct CredentialDigestHash
{
    std::size_t operator() (const CredentialDigest& digest) const
    {
        std::size_t value = 0;
        std::memcpy (&value, digest.data(), sizeof (value));
        return value;
    }
};

} // namespace copperlead::mesh
