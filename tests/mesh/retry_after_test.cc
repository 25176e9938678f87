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

TEST (RetryAfter, ALimitOfTheInstanceSaysWhenThereIsRoomAgain)
{
    const auto delay = [] (double jitter, Milliseconds availableIn)
    { return retryAfter (HopCause::instanceLimited, Milliseconds (500), jitter, availableIn); };
    EXPECT_EQ (delay (0, Milliseconds (700)), Milliseconds (701));
    EXPECT_EQ (delay (0, Milliseconds (40)), Milliseconds (41));
    EXPECT_GT (delay (0.9, Milliseconds (40)), Milliseconds (150)) << "they don't return together";
}

} // namespace
} // namespace copperlead::mesh::test
