#include "sidecar/buffer_pool.h"

#include <gtest/gtest.h>

#include "base/result.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::sidecar
{
namespace
{

class BufferPoolTest : public ::testing::Test
{
protected:
    ~BufferPoolTest() override { reactor->Stop(); }

    std::shared_ptr<Reactor> reactor = Resolve ([] { return Reactor::Start(); }).value();
    std::shared_ptr<BufferPool> pool =
        std::make_shared<BufferPool> (reactor, mesh::BufferAccount (100'000, 0, 8));
};

TEST_F (BufferPoolTest, AGrantIsDeliveredAfterTheCallThatMadeRoom)
{
    std::atomic<int> granted{ 0 };
    Reservation first, second;
    reactor->RunAndWait (
        [&]
        {
            first = pool->reserve (100'000, [&] { granted = 100; });
            second = pool->reserve (50'000, [&] { ++granted; });
            EXPECT_TRUE (first.isGranted());
            first.release();
            EXPECT_TRUE (second.isGranted());
            EXPECT_EQ (granted, 0);
        });
    EXPECT_TRUE (Eventually ([&] { return granted == 1; }));
    reactor->RunAndWait ([&] { second.release(); });
}

// Guards against a grant that reaches a connection which was closed by the grant before it.
TEST_F (BufferPoolTest, AGrantIsNotDeliveredOnceItsReservationHasEnded)
{
    std::atomic<int> granted{ 0 };
    Reservation first, second, third;
    reactor->RunAndWait (
        [&]
        {
            first = pool->reserve (100'000, {});
            second = pool->reserve (40'000,
                                    [&]
                                    {
                                        ++granted;
                                        third.release();
                                    });
            third = pool->reserve (40'000, [&] { granted = 100; });
            first.release();
        });
    EXPECT_TRUE (Eventually ([&] { return granted == 1; }));
    reactor->RunAndWait ([&] { second.release(); });
    EXPECT_EQ (granted, 1);
    EXPECT_EQ (pool->used(), 0U);
}

TEST_F (BufferPoolTest, AReservationMovesWithItsMemory)
{
    reactor->RunAndWait (
        [&]
        {
            auto first = pool->reserve (60'000, {});
            Reservation moved (std::move (first));
            EXPECT_EQ (pool->used(), 60'000U);
            moved.shrink (10'000);
            EXPECT_EQ (pool->used(), 10'000U);
            moved = pool->reserve (30'000, {});
            EXPECT_EQ (pool->used(), 30'000U);
            moved = {};
            EXPECT_EQ (pool->used(), 0U);
            EXPECT_TRUE (moved.isGranted()) << "one without a pool has no limit";
        });
}

} // namespace
} // namespace copperlead::sidecar
