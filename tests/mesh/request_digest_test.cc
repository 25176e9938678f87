#include "mesh/request_digest.h"

#include <gtest/gtest.h>

#include <set>

namespace copperlead::mesh
{
namespace
{

const RequestIdentity sample{ "GET", "shop.example", "/look/1?a=b", "gold", "body" };

TEST (RequestDigest, EqualRequestsHaveEqualDigests)
{
    const auto repeated = sample;
    EXPECT_EQ (digestOf (sample), digestOf (repeated));
    EXPECT_EQ (digestOf (sample).head, headDigestOf (sample));
}

TEST (RequestDigest, DependsOnEachPart)
{
    std::set<RequestDigest> digests{ digestOf (sample) };

    for (auto part : { &RequestIdentity::method, &RequestIdentity::host, &RequestIdentity::target,
                       &RequestIdentity::tenant, &RequestIdentity::body })
    {
        auto other = sample;
        other.*part = "other";
        digests.insert (digestOf (other));
    }

    EXPECT_EQ (digests.size(), 6U);
}

TEST (RequestDigest, DependsOnWhereAPartEnds)
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
