#include "mesh/request_digest.h"

#include <gtest/gtest.h>

#include <set>

namespace copperlead::mesh
{
namespace
{

const RequestIdentity usual{ "GET", "shop.example", "/look/1?a=b", "gold", "body" };

TEST (RequestDigest, TheSameRequestHasTheSameDigest)
{
    const auto again = usual;
    EXPECT_EQ (digestOf (usual), digestOf (again));
    EXPECT_EQ (digestOf (usual).head, headDigestOf (usual));
}

TEST (RequestDigest, EachPartTells)
{
    std::set<RequestDigest> digests{ digestOf (usual) };

    for (auto part : { &RequestIdentity::method, &RequestIdentity::host, &RequestIdentity::target,
                       &RequestIdentity::tenant, &RequestIdentity::body })
    {
        auto other = usual;
        other.*part = "other";
        digests.insert (digestOf (other));
    }

    EXPECT_EQ (digests.size(), 6U);
}

TEST (RequestDigest, WhereAPartEndsTells)
{
    EXPECT_NE (headDigestOf ({ "GET", "a", "b/", "", "" }),
               headDigestOf ({ "GET", "ab", "/", "", "" }));
    EXPECT_NE (headDigestOf ({ "GET", "a", "", "b", "" }),
               headDigestOf ({ "GET", "a", "b", "", "" }));
}

TEST (RequestDigest, IsShownAsHexadecimalDigits)
{
    EXPECT_EQ (toText ({ 0x12, 0xab }), "000000000000001200000000000000ab");
}

} // namespace
} // namespace copperlead::mesh
