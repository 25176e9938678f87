#include "mesh/retry_after.h"

#include <gtest/gtest.h>

namespace copperlead::mesh::test
{
namespace
{

TEST (RetryAfter, OverloadSpreadsRetriesOverUpToAThirdOfTheTimeLeft)
{
    for (const auto cause : { HopCause::queueFull, HopCause::expired })
    {
        EXPECT_EQ (retryAfter (cause, Milliseconds (1000), 0), Milliseconds (201));
        EXPECT_EQ (retryAfter (cause, Milliseconds (1000), 0.999), Milliseconds (330));
    }
}

TEST (RetryAfter, ARequestThatAnotherInstanceCanServeIsRetriedSoon)
{
    for (const auto cause : { HopCause::none, HopCause::instanceDown, HopCause::nodeStopping })
        EXPECT_EQ (retryAfter (cause, Milliseconds (1000), 0.5), Milliseconds (101));
}

TEST (RetryAfter, IsNeverNegative)
{
    EXPECT_EQ (retryAfter (HopCause::queueFull, Milliseconds (-5), 0.5), Milliseconds (1));
}

} // namespace
} // namespace copperlead::mesh::test
