#include "mesh/receive_delay.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

class Receiving : public ::testing::Test
{
protected:
    Receiving()
    {
        for (std::int64_t time = 0; time <= 1000; time += 250)
            delay.recordActivity (at (time));
    }

    ReceiveDelay delay{ Milliseconds (250) };
};

TEST_F (Receiving, IsZeroInARunningProcess)
{
    EXPECT_EQ (delay.longest (at (1240)), Duration (0));
    EXPECT_EQ (ReceiveDelay (Milliseconds (250)).longest (at (1240)), Duration (0));
}

// Guards against taking for recent what arrived while the process was paused, whether its sockets
// or its timers are served first.
TEST_F (Receiving, IsThePauseUntilTheBacklogIsRead)
{
    EXPECT_EQ (delay.longest (at (5000)), Milliseconds (4000));
    delay.recordActivity (at (5001));
    EXPECT_EQ (delay.longest (at (5100)), Milliseconds (4001));
    delay.recordActivity (at (5251));
    EXPECT_EQ (delay.longest (at (5251)), Duration (0));
}

} // namespace
} // namespace copperlead::mesh::test
