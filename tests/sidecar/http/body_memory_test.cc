/** Request bodies whose memory is reserved before they are read. */
#include <gtest/gtest.h>

#include "tests/sidecar/http/holding_server.h"

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t poolBytes = 60'000;

/** The part of the fixture that exists before its server is configured. */
class PoolOfTest
{
protected:
    explicit PoolOfTest (std::size_t bytes)
        : poolSize (bytes)
    {
    }

    void usePool (const std::shared_ptr<Reactor>& reactor, ServerSettings& settings)
    {
        pool = std::make_shared<BufferPool> (reactor, mesh::BufferAccount (poolSize, 0, 1));
        settings.bodyPools = { pool, pool, pool };
        settings.onMemoryRefused = [this] (const RequestHead&, std::size_t bytes, const BufferPool&)
        { refusedBytes = bytes; };
    }

    std::size_t poolSize;
    std::shared_ptr<BufferPool> pool;
    std::atomic<std::size_t> refusedBytes{ 0 };
};

/** A server with a pool for one body of up to 60,000 bytes, or several smaller ones. Bodies may
    have 100,000 bytes.
*/
class BodyMemory : protected PoolOfTest, public test::HoldingServer
{
protected:
    explicit BodyMemory (std::size_t bytes = poolBytes)
        : PoolOfTest (bytes)
        , HoldingServer ([this] (HoldingServer&, ServerSettings& settings)
                         { usePool (reactor, settings); })
    {
    }

    static std::string post (const std::string& target, std::size_t bytes)
    {
        return request (target, {}, std::string (bytes, 'b'));
    }

    std::size_t used()
    {
        std::size_t bytes = 0;
        reactor->RunAndWait ([&] { bytes = pool->used(); });
        return bytes;
    }

    bool awaitWaiting (std::size_t count)
    {
        return Eventually (
            [&]
            {
                std::size_t waiting = 0;
                reactor->RunAndWait ([&] { waiting = pool->waiting(); });
                return waiting == count;
            });
    }

    /** Responds to the request that was dispatched as number `index`, and forgets it. */
    void finish (std::size_t index)
    {
        answer (index);
        reactor->RunAndWait (
            [&]
            {
                const std::lock_guard lock (mutex);
                received[index] = nullptr;
            });
    }
};

TEST_F (BodyMemory, ABodyThatDoesntFitIsReadOnceThereIsRoom)
{
    auto first = RawSocket::Connect (address), second = RawSocket::Connect (address);
    first.Send (post ("/first", 50'000));
    ASSERT_TRUE (awaitReceived (1));
    EXPECT_EQ (used(), 50'000U);
    second.Send (post ("/second", 40'000));
    EXPECT_TRUE (receivedCountStaysAt (1));
    finish (0);
    ASSERT_TRUE (awaitReceived (2));
    EXPECT_EQ (receivedRequest (1)->body.size(), 40'000U);
    EXPECT_EQ (used(), 40'000U);
    finish (1);
    EXPECT_EQ (second.Read().body, "/second");
    EXPECT_EQ (used(), 0U);
}

TEST_F (BodyMemory, WhatCanNeverFitAndWhatIsOneTooManyIsRefusedAtOnce)
{
    auto large = RawSocket::Connect (address);
    large.Send ("POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 60001\r\n\r\n");
    EXPECT_EQ (large.Read().status(), 503);
    EXPECT_EQ (refusedBytes, 60'001U);
    EXPECT_TRUE (large.AwaitClosed());

    auto running = RawSocket::Connect (address), waiting = RawSocket::Connect (address),
         tooMany = RawSocket::Connect (address);
    running.Send (post ("/running", 50'000));
    ASSERT_TRUE (awaitReceived (1));
    waiting.Send (post ("/waiting", 50'000));
    EXPECT_TRUE (receivedCountStaysAt (1));
    tooMany.Send (post ("/many", 50'000));
    EXPECT_EQ (tooMany.Read().status(), 503);
    finish (0);
    EXPECT_TRUE (awaitReceived (2));
}

TEST_F (BodyMemory, AClientThatLeavesWhileItWaitsTakesNoMemory)
{
    auto running = RawSocket::Connect (address), next = RawSocket::Connect (address);
    running.Send (post ("/running", 50'000));
    ASSERT_TRUE (awaitReceived (1));

    {
        auto leaving = RawSocket::Connect (address);
        leaving.Send (post ("/leaving", 50'000));
        EXPECT_TRUE (awaitWaiting (1));
    }

    EXPECT_TRUE (awaitWaiting (0));
    next.Send (post ("/next", 20'000));
    EXPECT_TRUE (receivedCountStaysAt (1));
    finish (0);
    ASSERT_TRUE (awaitReceived (2));
    EXPECT_EQ (receivedRequest (1)->head.target, "/next");
}

/** Guards against small requests that wait behind a body which is sent slowly. */
TEST_F (BodyMemory, ABodyThatIsSentSlowlyHoldsItsOwnMemoryOnly)
{
    auto slow = RawSocket::Connect (address), quick = RawSocket::Connect (address);
    slow.Send ("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\nb");
    EXPECT_TRUE (Eventually ([&] { return used() == 30'000; }));
    quick.Send (post ("/quick", 30'000));
    ASSERT_TRUE (awaitReceived (1));
    EXPECT_EQ (receivedRequest (0)->head.target, "/quick");
}

TEST_F (BodyMemory, AChunkedBodyReservesMoreAsItGrows)
{
    auto socket = RawSocket::Connect (address);
    socket.Send ("POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    EXPECT_TRUE (Eventually ([&] { return used() == mesh::BufferAccount::smallBytes; }));
    socket.Send ("4000\r\n" + std::string (0x4000, 'c') + "\r\n");
    socket.Send ("0\r\n\r\n");
    ASSERT_TRUE (awaitReceived (1));
    EXPECT_EQ (receivedRequest (0)->body.size(), 0x4000U);
}

/** Guards against a body of unknown length that is held beyond the memory there is. */
TEST_F (BodyMemory, AChunkedBodyThatGrowsBeyondTheMemoryIsRefused)
{
    auto socket = RawSocket::Connect (address);
    socket.Send ("POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" +
                 std::string (0x5000, 'c') + "\r\n");
    EXPECT_EQ (socket.Read().status(), 503);
    EXPECT_EQ (refusedBytes, 100'000U) << "the largest body that is allowed";
    EXPECT_EQ (used(), 0U);
}

/** A server with a pool for two bodies of the largest size. */
class TwoLargestBodies : public BodyMemory
{
protected:
    TwoLargestBodies()
        : BodyMemory (200'000)
    {
    }
};

/** Guards against short bodies of unknown length that run one at a time, because each keeps the
    memory for the largest one.
*/
TEST_F (TwoLargestBodies, AChunkedBodyKeepsNoMoreMemoryThanItHasBytes)
{
    std::vector<RawSocket> sockets;

    for (std::size_t count = 1; count <= 5; ++count)
    {
        sockets.push_back (RawSocket::Connect (address));
        sockets.back().Send (
            "POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" +
            std::string (0x5000, 'c') + "\r\n0\r\n\r\n");
        ASSERT_TRUE (awaitReceived (count));
        EXPECT_EQ (receivedRequest (count - 1)->body.size(), 0x5000U);
        EXPECT_EQ (used(), count * 0x5000);
    }
}

/** Guards against bytes that arrive during the wait for memory and are parsed as a request. */
TEST_F (BodyMemory, ABodyThatIsRefusedDuringItsWaitIsNeverParsedAsARequest)
{
    auto running = RawSocket::Connect (address), waiting = RawSocket::Connect (address);
    running.Send (post ("/running", 50'000));
    ASSERT_TRUE (awaitReceived (1));
    const auto smuggled = request ("/smuggled");
    waiting.Send ("POST /waiting HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n");
    EXPECT_TRUE (awaitWaiting (1));
    waiting.Send (smuggled + smuggled);
    EXPECT_TRUE (receivedCountStaysAt (1));
    finish (0);
    EXPECT_TRUE (receivedCountStaysAt (1)) << "the body is not complete";
}

} // namespace
} // namespace copperlead::sidecar
