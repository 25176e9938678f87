/** Keys by which clients show whose requests theirs are. A key is a secret: only its digest is kept
    and passed between nodes, so that neither memory dumps, logs nor messages give it away.
*/
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace copperlead::mesh
{

/** The first half of a key's SHA-256. */
using CredentialDigest = std::array<std::uint8_t, 16>;

CredentialDigest digestOf (std::string_view credential);

/** Digests are spread evenly already. */
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
