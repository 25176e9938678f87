/** Tells whether two requests are the same one that came again: same method, host, target, tenant
    and body. Their ids differ with each attempt of a client, and so may the machine that they come
    to, so neither counts. Only digests are kept, logged and passed between nodes.
*/
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace copperlead::mesh
{

/** What a request is told by. */
struct RequestIdentity
{
    std::string_view method, host, target;
    std::string_view tenant; /**< Empty: nobody's. */
    std::string_view body;   /**< Whole. */
};

struct RequestDigest
{
    std::uint64_t head = 0; /**< Of all but the body, so that few bodies need to be read. */
    std::uint64_t body = 0;

    auto operator<=> (const RequestDigest&) const = default;
};

/** RequestDigest::head of a request. */
std::uint64_t headDigestOf (const RequestIdentity& request);

RequestDigest digestOf (const RequestIdentity& request);

/** 32 hexadecimal digits, for logs. */
std::string toText (const RequestDigest& digest);

} // namespace copperlead::mesh
