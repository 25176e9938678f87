#include "sidecar/http/body_buffer.h"

#include <gtest/gtest.h>

#include "base/result.h"

namespace copperlead::sidecar
{
namespace
{

class BodyBufferTest : public ::testing::Test
{
protected:
    ~BodyBufferTest() override { reactor->Stop(); }

    /** Asks for memory and uses it if it is granted immediately. */
    void grow (BodyBuffer& buffer, std::size_t size)
    {
        ASSERT_TRUE (buffer.request (size, pool, {}));
        ASSERT_TRUE (buffer.isGranted());
        buffer.grow();
    }

    std::shared_ptr<Reactor> reactor = Resolve ([] { return Reactor::Start(); }).value();
    std::shared_ptr<BufferPool> pool =
        std::make_shared<BufferPool> (reactor, mesh::BufferAccount (100'000, 0, 1));
};

TEST_F (BodyBufferTest, KeepsItsBytesWhileItGrows)
{
    reactor->RunAndWait (
        [&]
        {
            BodyBuffer buffer;
            grow (buffer, 10'000);
            EXPECT_EQ (buffer.room(), 10'000U);
            buffer.bytes().append (10'000, 'b');
            EXPECT_TRUE (buffer.isFull());
            grow (buffer, 60'000);
            EXPECT_EQ (buffer.room(), 50'000U);
            EXPECT_EQ (pool->used(), 60'000U) << "the memory before has been released";
            EXPECT_EQ (buffer.bytes(), std::string (10'000, 'b'));
        });
}

TEST_F (BodyBufferTest, ABodyHoldsTheMemoryOfItsBytes)
{
    reactor->RunAndWait (
        [&]
        {
            BodyBuffer buffer;
            grow (buffer, 60'000);
            buffer.bytes().append (40'000, 'b');
            auto body = buffer.takeBody();
            EXPECT_EQ (pool->used(), 60'000U) << "more than half of it is used";
            EXPECT_EQ (buffer.size(), 0U);
            body = {};
            EXPECT_EQ (pool->used(), 0U);

            grow (buffer, 60'000);
            buffer.bytes().append (20'000, 'b');
            body = buffer.takeBody();
            EXPECT_EQ (pool->used(), 20'000U);
            EXPECT_EQ (body.bytes(), std::string (20'000, 'b'));
        });
}

TEST_F (BodyBufferTest, WaitsForMemoryUntilItIsCleared)
{
    bool granted = false;
    reactor->RunAndWait (
        [&]
        {
            BodyBuffer first, second, third;
            grow (first, 80'000);
            EXPECT_TRUE (second.request (30'000, pool, [&] { granted = true; }));
            EXPECT_TRUE (second.isWaiting());
            EXPECT_FALSE (second.isGranted());
            EXPECT_FALSE (third.request (30'000, pool, {})) << "one too many to wait";
            EXPECT_FALSE (third.isWaiting());
            second.clear();
            first.clear();
            EXPECT_EQ (pool->used(), 0U);
        });
    reactor->RunAndWait ([&] { EXPECT_FALSE (granted); });
}

TEST_F (BodyBufferTest, UsesAPartOfItsMemoryForTheBytes)
{
    reactor->RunAndWait (
        [&]
        {
            BodyBuffer buffer;
            buffer.setMaxBytes (10'000);
            grow (buffer, 60'000);
            EXPECT_EQ (buffer.room(), 10'000U);
            const auto memory = buffer.takeMemory();
            EXPECT_EQ (memory.bytes(), 60'000U);
            buffer.clear();
            EXPECT_EQ (pool->used(), 60'000U) << "it belongs to its new owner";
        });
}

} // namespace
} // namespace copperlead::sidecar
