/** Tests of HTTP/1.1 pipelining: requests that arrive before an earlier one is answered, combined
    with pending responses, closing responses, invalid requests and disconnects.
*/
#include <gtest/gtest.h>

#include <fmt/format.h>

#include <cstdlib>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "tests/sidecar/http/holding_server.h"

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t maxPendingRequests = 16; // The limit of ServerConnection.

/** A server that may run requests concurrently if their target begins with "/safe". */
class Pipelining : public test::HoldingServer
{
protected:
    Pipelining()
        : HoldingServer (
              [] (HoldingServer&, ServerSettings& settings)
              {
                  settings.canRunConcurrently = [] (const RequestHead& head)
                  { return head.target.starts_with ("/safe"); };
                  settings.mayBreakOff = [] (const RequestHead& head)
                  { return head.target == "/safe/large"; };
              })
    {
    }
};

TEST_F (Pipelining, RunsConcurrentlyAndRespondsInOrder)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2") + request ("/safe/3"));
    ASSERT_TRUE (awaitReceived (3));

    for (const std::size_t index : { 2U, 1U, 0U })
        answer (index);

    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_EQ (socket.Read().body, "/safe/3");
    reactor->RunAndWait (
        [&]
        {
            EXPECT_EQ (server->counters().startedConcurrently, 2U);
            EXPECT_EQ (server->counters().headOfLineDelay.count(), 2U);
        });
}

TEST_F (Pipelining, ARequestThatMayNotRunConcurrentlyWaitsForEarlierResponses)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/once", {}, "body") + request ("/safe/2"));
    ASSERT_TRUE (awaitReceived (1));
    EXPECT_TRUE (receivedCountStaysAt (1));
    answer (0);
    ASSERT_TRUE (awaitReceived (3));
    EXPECT_EQ (receivedRequest (1)->body, "body");
    answer (2);
    answer (1);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/once");
    EXPECT_EQ (socket.Read().body, "/safe/2");
}

/** Guards against requests that run and get no response, because an earlier response breaks off and
    its connection ends.
*/
TEST_F (Pipelining, RequestsBehindAResponseThatMayBreakOffWaitForItsEnd)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/large") + request ("/safe/2"));
    ASSERT_TRUE (awaitReceived (2));
    EXPECT_TRUE (receivedCountStaysAt (2));
    answer (0);
    EXPECT_TRUE (receivedCountStaysAt (2));
    answer (1);
    ASSERT_TRUE (awaitReceived (3));
    answer (2);

    for (const auto* target : { "/safe/1", "/safe/large", "/safe/2" })
        EXPECT_EQ (socket.Read().body, target);
}

TEST_F (Pipelining, RequestsBehindAResponseThatIsStillArrivingWaitForItsEnd)
{
    for (const bool isFinished : { true, false })
    {
        for (const auto* target : { "/safe/2", "/once" })
        {
            const auto before = receivedCount();
            auto socket = RawSocket::Connect (address);
            socket.Send (request ("/safe/1"));
            ASSERT_TRUE (awaitReceived (before + 1));
            const auto rest = beginAnswer (before, "first ");
            socket.Send (request (target));
            EXPECT_TRUE (receivedCountStaysAt (before + 1)) << target;
            reactor->RunAndWait ([&] { isFinished ? rest->finish() : rest->fail(); });
            EXPECT_EQ (socket.Read().complete, isFinished);

            if (! isFinished)
                EXPECT_TRUE (receivedCountStaysAt (before + 1)) << target;
            else
                EXPECT_TRUE (awaitReceived (before + 2)) << target;
        }
    }
}

TEST_F (Pipelining, AClosingResponseCancelsLaterRequests)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2") + request ("/safe/3"));
    ASSERT_TRUE (awaitReceived (3));
    answer (1);
    answer (0, true);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (Eventually (
        [&] { return disconnectedTargets() == std::vector<std::string>{ "/safe/3" }; }));
    answer (2); // This is too late and has no effect.
}

TEST_F (Pipelining, RequestsAfterConnectionCloseNeverRun)
{
    const std::string cases[] = { request ("/safe/2"), request ("/once", {}, "body") };

    for (const auto& behind : cases)
    {
        auto socket = RawSocket::Connect (address);
        const auto before = receivedCount();
        socket.Send (request ("/once/1", "Connection: close\r\n") + behind);
        ASSERT_TRUE (awaitReceived (before + 1));
        answer (before);
        EXPECT_EQ (socket.Read().body, "/once/1");
        EXPECT_TRUE (socket.AwaitClosed());
        EXPECT_TRUE (receivedCountStaysAt (before + 1)) << behind;
    }
}

TEST_F (Pipelining, ARequestThatWaitsForAClosingResponseNeverRuns)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/once", {}, "body"));
    ASSERT_TRUE (awaitReceived (1));
    answer (0, true);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (receivedCountStaysAt (1));
}

TEST_F (Pipelining, NoRequestIsDispatchedAfterAQueuedClosingResponse)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2"));
    ASSERT_TRUE (awaitReceived (2));
    answer (1, true);
    socket.Send (request ("/safe/3"));
    EXPECT_TRUE (receivedCountStaysAt (2));
    answer (0);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (receivedCountStaysAt (2));
}

TEST_F (Pipelining, ADisconnectAbandonsAllRequestsOfTheConnection)
{
    {
        auto socket = RawSocket::Connect (address);
        socket.Send (request ("/safe/1") + request ("/safe/2") + request ("/once", {}, "body"));
        ASSERT_TRUE (awaitReceived (2));
    }

    EXPECT_TRUE (Eventually ([&] { return disconnectedTargets().size() == 2; }));
    EXPECT_TRUE (receivedCountStaysAt (2));
}

TEST_F (Pipelining, AnInvalidRequestIsRejectedAfterEarlierResponses)
{
    const std::pair<std::string, int> cases[] = {
        { "GET / HTTP/1.1\r\n\r\n", 400 },
        { "GET /safe HTTP/1.1\nHost: h\r\n\r\n", 400 },
        { "POST /safe HTTP/1.1\r\nHost: h\r\nContent-Length: 100001\r\n\r\n", 413 },
        { "POST /safe HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400 },
        { "GET /safe HTTP/1.1\r\nHost: h\r\nX: " + std::string (3000, 'x') + "\r\n\r\n", 431 },
    };

    for (const auto& [bytes, status] : cases)
    {
        auto socket = RawSocket::Connect (address);
        const auto before = receivedCount();
        socket.Send (request ("/safe/1") + request ("/safe/2") + bytes + request ("/safe/3"));
        ASSERT_TRUE (awaitReceived (before + 2));
        answer (before + 1);
        answer (before);
        EXPECT_EQ (socket.Read().body, "/safe/1");
        EXPECT_EQ (socket.Read().body, "/safe/2");
        EXPECT_EQ (socket.Read().status(), status) << bytes.substr (0, 60);
        EXPECT_TRUE (socket.AwaitClosed()) << bytes.substr (0, 60);
        EXPECT_TRUE (receivedCountStaysAt (before + 2)) << bytes.substr (0, 60);
    }
}

TEST_F (Pipelining, ABodyIsReadCompletelyWhileAResponseIsPending)
{
    auto socket = RawSocket::Connect (address);
    const std::string body (90'000, 'b');
    const auto bytes = request ("/safe/1") + request ("/safe/2", {}, body) + request ("/safe/3");
    socket.Send (bytes.substr (0, 40'000));
    ASSERT_TRUE (awaitReceived (1));
    socket.Send (bytes.substr (40'000));
    ASSERT_TRUE (awaitReceived (3));
    EXPECT_EQ (receivedRequest (1)->body, body);

    for (const std::size_t index : { 0U, 1U, 2U })
        answer (index);

    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_EQ (socket.Read().body, "/safe/3");
}

TEST_F (Pipelining, AResponseLargerThanTheSocketBufferKeepsTheOrder)
{
    auto socket = RawSocket::Connect (address);
    const std::string large (8 << 20, 'l');
    socket.Send (request ("/safe/1") + request ("/safe/2"));
    ASSERT_TRUE (awaitReceived (2));
    answer (0, false, large);
    answer (1);
    socket.Send (request ("/safe/3"));
    EXPECT_TRUE (receivedCountStaysAt (2)) << "dispatched while too much was unsent";
    EXPECT_EQ (socket.Read().body, large);
    EXPECT_EQ (socket.Read().body, "/safe/2");
    ASSERT_TRUE (awaitReceived (3));
    answer (2);
    EXPECT_EQ (socket.Read().body, "/safe/3");
}

TEST_F (Pipelining, PendingRequestsAreLimitedInNumber)
{
    constexpr std::size_t sent = maxPendingRequests + 4;
    auto socket = RawSocket::Connect (address);

    for (std::size_t n = 0; n < sent; ++n)
        socket.Send (request ("/safe/" + std::to_string (n)));

    ASSERT_TRUE (awaitReceived (maxPendingRequests));
    EXPECT_TRUE (receivedCountStaysAt (maxPendingRequests));

    for (std::size_t n = 0; n < sent; ++n)
    {
        ASSERT_TRUE (Eventually ([&] { return receivedCount() > n; }));
        answer (n);
        EXPECT_EQ (socket.Read().body, "/safe/" + std::to_string (n));
    }
}

TEST_F (Pipelining, ADrainingServerFinishesPendingRequestsAndDispatchesNoOthers)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2"));
    ASSERT_TRUE (awaitReceived (2));
    reactor->RunAndWait (
        [&]
        {
            server->drain();
            EXPECT_FALSE (receivedRequest (0)->isLastRead());
            EXPECT_TRUE (receivedRequest (1)->isLastRead());
        });
    socket.Send (request ("/safe/3"));
    EXPECT_TRUE (receivedCountStaysAt (2));
    // A response that closes the connection would leave the third request unanswered.
    reactor->RunAndWait ([&] { EXPECT_FALSE (receivedRequest (1)->isLastRead()); });
    answer (0);
    answer (1, true);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (receivedCountStaysAt (2));
    EXPECT_TRUE (disconnectedTargets().empty());
}

TEST_F (Pipelining, ContinueIsSentAfterEarlierResponses)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + "POST /once HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                                       "Content-Length: 4\r\n\r\n");
    ASSERT_TRUE (awaitReceived (1));
    EXPECT_TRUE (receivedCountStaysAt (1));
    answer (0);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().status(), 100);
    socket.Send ("body");
    ASSERT_TRUE (awaitReceived (2));
    answer (1);
    EXPECT_EQ (socket.Read().body, "/once");
}

/** Random requests that are sent in random pieces and answered in random order must get the same
    responses as sequential requests. COPPERLEAD_FUZZ_ROUNDS sets the number of rounds and
    COPPERLEAD_FUZZ_SEED the first seed.
*/
class PipeliningFuzz : public Pipelining
{
protected:
    struct SentRequest
    {
        std::string target, body;
    };

    static std::uint64_t fromEnvironment (const char* name, std::uint64_t fallback)
    {
        const char* text = std::getenv (name);
        return text == nullptr ? fallback : std::strtoull (text, nullptr, 10);
    }

    std::vector<SentRequest> randomRequests()
    {
        std::vector<SentRequest> requests;
        const auto count = randomInt (1, 24);

        for (int n = 0; n < count; ++n)
        {
            const std::string kind = randomInt (0, 3) == 0 ? "/once/" : "/safe/";
            const std::string body (
                static_cast<std::size_t> (randomInt (0, 2) == 0 ? randomInt (1, 4000) : 0),
                static_cast<char> ('a' + randomInt (0, 25)));
            requests.push_back ({ kind + std::to_string (n), body });
        }

        return requests;
    }

    std::string encode (const SentRequest& sent)
    {
        if (sent.body.empty() || randomInt (0, 1) == 0)
            return request (sent.target, {}, sent.body);

        std::string chunks;

        for (std::size_t at = 0; at < sent.body.size();)
        {
            const auto piece = sent.body.substr (at, static_cast<std::size_t> (randomInt (1, 900)));
            chunks += fmt::format ("{:x}\r\n", piece.size()) + piece + "\r\n";
            at += piece.size();
        }

        return "POST " + sent.target +
               " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
    }

    int randomInt (int min, int max)
    {
        return std::uniform_int_distribution<int> (min, max) (random);
    }

    void sendInPieces (RawSocket& socket, const std::string& bytes)
    {
        for (std::size_t at = 0; at < bytes.size();)
        {
            const auto piece = bytes.substr (at, static_cast<std::size_t> (randomInt (1, 1500)));
            ASSERT_TRUE (socket.Send (piece));
            at += piece.size();

            if (randomInt (0, 9) == 0)
                std::this_thread::sleep_for (std::chrono::milliseconds (1));
        }
    }

    /** Responds to pending requests in random order until `count` requests have been answered. It
        runs concurrently with the sending and therefore uses its own random generator.
    */
    void answerAll (std::size_t count, std::uint64_t seed)
    {
        std::mt19937_64 order (seed);
        std::vector<std::size_t> open;
        std::size_t seen = 0, answered = 0;

        while (answered < count)
        {
            for (const auto now = receivedCount(); seen < now; ++seen)
                open.push_back (seen);

            if (open.empty())
            {
                std::this_thread::sleep_for (std::chrono::microseconds (200));
                continue;
            }

            const auto pick =
                std::uniform_int_distribution<std::size_t> (0, open.size() - 1) (order);
            const auto index = open[pick];
            open.erase (open.begin() + static_cast<std::ptrdiff_t> (pick));
            const auto request = receivedRequest (index);
            answer (index, false, request->head.target + " " + request->body.bytes());
            ++answered;
        }
    }

    std::mt19937_64 random;
};

TEST_F (PipeliningFuzz, RandomlySplitRequestsGetTheResponsesOfSequentialOnes)
{
    const auto rounds = fromEnvironment ("COPPERLEAD_FUZZ_ROUNDS", 25);
    const auto firstSeed = fromEnvironment ("COPPERLEAD_FUZZ_SEED", 1);

    for (auto seed = firstSeed; seed < firstSeed + rounds; ++seed)
    {
        random.seed (seed);
        {
            const std::lock_guard lock (mutex);
            received.clear();
        }
        const auto sent = randomRequests();
        std::string bytes;

        for (const auto& each : sent)
            bytes += encode (each);

        auto socket = RawSocket::Connect (address);
        std::thread answers ([&] { answerAll (sent.size(), seed); });
        sendInPieces (socket, bytes);

        for (const auto& each : sent)
            ASSERT_EQ (socket.Read().body, each.target + " " + each.body) << "seed " << seed;

        answers.join();
        ASSERT_TRUE (disconnectedTargets().empty()) << "seed " << seed;
    }
}

/** Guards against a handler's exception that costs more than the request. */
TEST_F (Pipelining, AnExceptionInAHandlerLeavesOtherConnectionsAlone)
{
    reactor->RunAndWait ([&] { reactor->OnException ([] (const std::string&) {}); });
    auto other = RawSocket::Connect (address);
    other.Send (request ("/other"));
    ASSERT_TRUE (awaitReceived (1));
    auto failing = RawSocket::Connect (address);
    failing.Send (request ("/throw"));
    EXPECT_TRUE (failing.AwaitClosed());
    answer (0);
    EXPECT_EQ (other.Read().body, "/other");
}

} // namespace
} // namespace copperlead::sidecar
