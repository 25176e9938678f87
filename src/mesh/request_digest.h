/** Digests by which repetitions of a request are recognised: requests with the same method, host,
    target, tenant and body count as the same. The request id isn't included because it differs with
    each attempt of a client, nor is the machine that receives the request, because that may differ
    as well. Only digests are kept, logged and passed between nodes.
*/
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace copperlead::mesh
{

/** The parts of a request that identify it. */
struct RequestIdentity
{
    std::string_view method, host, target;
    std::string_view tenant;        /**< Empty for a request without a tenant. */
    std::string_view body;          /**< The complete body, or the first part of a large one. */
    std::uint64_t bytesLeftOut = 0; /**< Of a large body, behind its first part. */
};

struct RequestDigest
{
    std::uint64_t head = 0; /**< Covers all but the body, so that few bodies need to be read. */
    std::uint64_t body = 0;

    auto operator<=> (const RequestDigest&) const = default;
};

/** Returns the RequestDigest::head of a request. */
std::uint64_t headDigestOf (const RequestIdentity& request);

RequestDigest digestOf (const RequestIdentity& request);

/** Returns 32 hexadecimal digits, for logs. */
std::string toText (const RequestDigest& digest);

} // namespace copperlead::mesh
