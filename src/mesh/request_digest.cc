#include "mesh/request_digest.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace copperlead::mesh
{

std::uint64_t headDigestOf (const RequestIdentity& request)
{
    std::uint64_t digest = 0;

    // The digest of each part is the seed of the next one, so that the same text divided into parts
    // in another way has another digest.
    for (const auto part : { request.method, request.host, request.target, request.tenant })
        digest = XXH3_64bits_withSeed (part.data(), part.size(), digest);

    return digest;
}

RequestDigest digestOf (const RequestIdentity& request)
{
    return { headDigestOf (request), XXH3_64bits_withSeed (request.body.data(), request.body.size(),
                                                           request.bytesLeftOut) };
}

std::string toText (const RequestDigest& digest)
{
    return fmt::format ("{:016x}{:016x}", digest.head, digest.body);
}

} // namespace copperlead::mesh
