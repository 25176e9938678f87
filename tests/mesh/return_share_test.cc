#include "mesh/return_share.h"

#include <gtest/gtest.h>

namespace copperlead::mesh
{
namespace
{

void refuse (ReturnShare& share, const std::string& route, int count)
{
    for (int n = 0; n < count; ++n)
        share.recordRefusal (route);
}

TEST (ReturnShare, ClientsAreExpectedToRetryWhileTooLittleIsKnown)
{
    ReturnShare share;
    EXPECT_TRUE (share.expectsClientRetry ("lookup"));
    refuse (share, "lookup", 3);
    EXPECT_TRUE (share.expectsClientRetry ("lookup"));
}

TEST (ReturnShare, ClientsThatNeverRetryAreNotExpectedTo)
{
    ReturnShare share;
    refuse (share, "call", 4);
    EXPECT_FALSE (share.expectsClientRetry ("call"));
    EXPECT_TRUE (share.expectsClientRetry ("lookup"));
}

TEST (ReturnShare, ClientsThatOftenRetryAreExpectedTo)
{
    ReturnShare share;

    for (int n = 0; n < 50; ++n)
    {
        refuse (share, "lookup", 2);
        share.recordRetry ("lookup");
    }

    EXPECT_TRUE (share.expectsClientRetry ("lookup"));
}

TEST (ReturnShare, OldObservationsAreForgotten)
{
    ReturnShare share;

    for (int n = 0; n < 100; ++n)
    {
        refuse (share, "lookup", 1);
        share.recordRetry ("lookup");
    }

    refuse (share, "lookup", 1000);
    EXPECT_FALSE (share.expectsClientRetry ("lookup"));
}

} // namespace
} // namespace copperlead::mesh
