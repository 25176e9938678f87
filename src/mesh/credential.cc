#include "mesh/credential.h"

#include <openssl/sha.h>

#include <algorithm>

namespace copperlead::mesh
{

CredentialDigest digestOf (std::string_view credential)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256 (reinterpret_cast<const unsigned char*> (credential.data()), credential.size(),
            hash.data());
    CredentialDigest digest;
    std::copy_n (hash.begin(), digest.size(), digest.begin());
    return digest;
}

} // namespace copperlead::mesh
