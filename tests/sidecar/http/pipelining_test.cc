/** Requests that come on a connection before its first answer: a contract test for each way in
   which they can meet an open answer, a closing one, a fault or a client that leaves.
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

constexpr std::size_t mostOpen = 16; // As the server's page says.

/** Targets that begin with "/safe" may run beside an unanswered request. */
class Pipelining : public test::HoldingServer
{
protected:
    Pipelining()
        : HoldingServer (
              [] (HoldingServer&, ServerSettings& settings)
              {
                  settings.mayRunBeside = [] (const RequestHead& head)
                  { return head.target.starts_with ("/safe"); };
              })
    {
    }
};

TEST_F (Pipelining, RunsSideBySideAndAnswersInOrder)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2") + request ("/safe/3"));
    ASSERT_TRUE (awaitTaken (3));

    for (const std::size_t index : { 2U, 1U, 0U })
        answer (index);

    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_EQ (socket.Read().body, "/safe/3");
    reactor->RunAndWait (
        [&]
        {
            EXPECT_EQ (server->counters().besideOthers, 2U);
            EXPECT_EQ (server->counters().answerHeld.count(), 2U);
        });
}

TEST_F (Pipelining, WhatMayRunOnlyOnceWaitsForTheAnswersBeforeIt)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/once", {}, "body") + request ("/safe/2"));
    ASSERT_TRUE (awaitTaken (1));
    EXPECT_TRUE (staysAt (1));
    answer (0);
    ASSERT_TRUE (awaitTaken (3));
    EXPECT_EQ (takenAt (1)->body, "body");
    answer (2);
    answer (1);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/once");
    EXPECT_EQ (socket.Read().body, "/safe/2");
}

TEST_F (Pipelining, AnAnswerThatClosesCancelsWhatRunsBehindIt)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2") + request ("/safe/3"));
    ASSERT_TRUE (awaitTaken (3));
    answer (1);
    answer (0, true);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (
        Eventually ([&] { return goneTargets() == std::vector<std::string>{ "/safe/3" }; }));
    answer (2); // Comes too late and goes nowhere.
}

TEST_F (Pipelining, WhatWaitsBehindAClosingAnswerNeverRuns)
{
    const std::string cases[] = { request ("/safe/2"), request ("/once", {}, "body") };

    for (const auto& behind : cases)
    {
        auto socket = RawSocket::Connect (address);
        const auto before = takenCount();
        socket.Send (request ("/once/1", "Connection: close\r\n") + behind);
        ASSERT_TRUE (awaitTaken (before + 1));
        answer (before);
        EXPECT_EQ (socket.Read().body, "/once/1");
        EXPECT_TRUE (socket.AwaitClosed());
        EXPECT_TRUE (staysAt (before + 1)) << behind;
    }
}

TEST_F (Pipelining, WhatIsHeldBehindAClosingAnswerNeverRuns)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/once", {}, "body"));
    ASSERT_TRUE (awaitTaken (1));
    answer (0, true);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (staysAt (1));
}

TEST_F (Pipelining, NothingIsHandedOnBehindAClosingAnswerThatWaitsForItsTurn)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2"));
    ASSERT_TRUE (awaitTaken (2));
    answer (1, true);
    socket.Send (request ("/safe/3"));
    EXPECT_TRUE (staysAt (2));
    answer (0);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (staysAt (2));
}

TEST_F (Pipelining, AClientThatLeavesLeavesAllItsRequests)
{
    {
        auto socket = RawSocket::Connect (address);
        socket.Send (request ("/safe/1") + request ("/safe/2") + request ("/once", {}, "body"));
        ASSERT_TRUE (awaitTaken (2));
    }

    EXPECT_TRUE (Eventually ([&] { return goneTargets().size() == 2; }));
    EXPECT_TRUE (staysAt (2));
}

TEST_F (Pipelining, AFaultBehindGoodRequestsIsAnsweredInItsTurn)
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
        const auto before = takenCount();
        socket.Send (request ("/safe/1") + request ("/safe/2") + bytes + request ("/safe/3"));
        ASSERT_TRUE (awaitTaken (before + 2));
        answer (before + 1);
        answer (before);
        EXPECT_EQ (socket.Read().body, "/safe/1");
        EXPECT_EQ (socket.Read().body, "/safe/2");
        EXPECT_EQ (socket.Read().status(), status) << bytes.substr (0, 60);
        EXPECT_TRUE (socket.AwaitClosed()) << bytes.substr (0, 60);
        EXPECT_TRUE (staysAt (before + 2)) << bytes.substr (0, 60);
    }
}

TEST_F (Pipelining, ABodyBehindAnOpenAnswerIsReadWhole)
{
    auto socket = RawSocket::Connect (address);
    const std::string body (90'000, 'b');
    const auto bytes = request ("/safe/1") + request ("/safe/2", {}, body) + request ("/safe/3");
    socket.Send (bytes.substr (0, 40'000));
    ASSERT_TRUE (awaitTaken (1));
    socket.Send (bytes.substr (40'000));
    ASSERT_TRUE (awaitTaken (3));
    EXPECT_EQ (takenAt (1)->body, body);

    for (const std::size_t index : { 0U, 1U, 2U })
        answer (index);

    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_EQ (socket.Read().body, "/safe/3");
}

TEST_F (Pipelining, AnAnswerLargerThanTheSocketTakesKeepsTheOrder)
{
    auto socket = RawSocket::Connect (address);
    const std::string large (8 << 20, 'l');
    socket.Send (request ("/safe/1") + request ("/safe/2"));
    ASSERT_TRUE (awaitTaken (2));
    answer (0, false, large);
    answer (1);
    socket.Send (request ("/safe/3"));
    EXPECT_TRUE (staysAt (2)) << "worked on while too much was unsent";
    EXPECT_EQ (socket.Read().body, large);
    EXPECT_EQ (socket.Read().body, "/safe/2");
    ASSERT_TRUE (awaitTaken (3));
    answer (2);
    EXPECT_EQ (socket.Read().body, "/safe/3");
}

TEST_F (Pipelining, OpenRequestsAreBoundedInCount)
{
    constexpr std::size_t sent = mostOpen + 4;
    auto socket = RawSocket::Connect (address);

    for (std::size_t n = 0; n < sent; ++n)
        socket.Send (request ("/safe/" + std::to_string (n)));

    ASSERT_TRUE (awaitTaken (mostOpen));
    EXPECT_TRUE (staysAt (mostOpen));

    for (std::size_t n = 0; n < sent; ++n)
    {
        ASSERT_TRUE (Eventually ([&] { return takenCount() > n; }));
        answer (n);
        EXPECT_EQ (socket.Read().body, "/safe/" + std::to_string (n));
    }
}

TEST_F (Pipelining, ADrainingServerFinishesWhatIsOpenAndTakesNothingBehindIt)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + request ("/safe/2"));
    ASSERT_TRUE (awaitTaken (2));
    reactor->RunAndWait ([&] { server->drain(); });
    socket.Send (request ("/safe/3"));
    EXPECT_TRUE (staysAt (2));
    reactor->RunAndWait (
        [&]
        {
            EXPECT_FALSE (takenAt (0)->isLatest());
            EXPECT_TRUE (takenAt (1)->isLatest());
        });
    answer (0);
    answer (1, true);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().body, "/safe/2");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (staysAt (2));
    EXPECT_TRUE (goneTargets().empty());
}

TEST_F (Pipelining, AWordToSendABodyWaitsForTheAnswersBeforeIt)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (request ("/safe/1") + "POST /once HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                                       "Content-Length: 4\r\n\r\n");
    ASSERT_TRUE (awaitTaken (1));
    EXPECT_TRUE (staysAt (1));
    answer (0);
    EXPECT_EQ (socket.Read().body, "/safe/1");
    EXPECT_EQ (socket.Read().status(), 100);
    socket.Send ("body");
    ASSERT_TRUE (awaitTaken (2));
    answer (1);
    EXPECT_EQ (socket.Read().body, "/once");
}

/** Random requests in random pieces, answered in random order, must bring what one request at a
    time brings. COPPERLEAD_FUZZ_ROUNDS plays more rounds than the few of a test run, and
    COPPERLEAD_FUZZ_SEED other ones.
*/
class PipeliningFuzz : public Pipelining
{
protected:
    struct Sent
    {
        std::string target, body;
    };

    static std::uint64_t fromEnvironment (const char* name, std::uint64_t usual)
    {
        const char* text = std::getenv (name);
        return text == nullptr ? usual : std::strtoull (text, nullptr, 10);
    }

    std::vector<Sent> drawRequests()
    {
        std::vector<Sent> drawn;
        const auto count = draw (1, 24);

        for (int n = 0; n < count; ++n)
        {
            const std::string kind = draw (0, 3) == 0 ? "/once/" : "/safe/";
            const std::string body (
                static_cast<std::size_t> (draw (0, 2) == 0 ? draw (1, 4000) : 0),
                static_cast<char> ('a' + draw (0, 25)));
            drawn.push_back ({ kind + std::to_string (n), body });
        }

        return drawn;
    }

    std::string encode (const Sent& sent)
    {
        if (sent.body.empty() || draw (0, 1) == 0)
            return request (sent.target, {}, sent.body);

        std::string chunks;

        for (std::size_t at = 0; at < sent.body.size();)
        {
            const auto piece = sent.body.substr (at, static_cast<std::size_t> (draw (1, 900)));
            chunks += fmt::format ("{:x}\r\n", piece.size()) + piece + "\r\n";
            at += piece.size();
        }

        return "POST " + sent.target +
               " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
    }

    int draw (int least, int most)
    {
        return std::uniform_int_distribution<int> (least, most) (random);
    }

    void sendInPieces (RawSocket& socket, const std::string& bytes)
    {
        for (std::size_t at = 0; at < bytes.size();)
        {
            const auto piece = bytes.substr (at, static_cast<std::size_t> (draw (1, 1500)));
            ASSERT_TRUE (socket.Send (piece));
            at += piece.size();

            if (draw (0, 9) == 0)
                std::this_thread::sleep_for (std::chrono::milliseconds (1));
        }
    }

    /** Answers what is open, in random order, until `count` requests were answered. Runs beside
        the sending, so it draws from a generator of its own.
    */
    void answerAll (std::size_t count, std::uint64_t seed)
    {
        std::mt19937_64 order (seed);
        std::vector<std::size_t> open;
        std::size_t seen = 0, answered = 0;

        while (answered < count)
        {
            for (const auto now = takenCount(); seen < now; ++seen)
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
            const auto request = takenAt (index);
            answer (index, false, request->head.target + " " + request->body);
            ++answered;
        }
    }

    std::mt19937_64 random;
};

TEST_F (PipeliningFuzz, RandomPiecesBringWhatOneRequestAtATimeBrings)
{
    const auto rounds = fromEnvironment ("COPPERLEAD_FUZZ_ROUNDS", 25);
    const auto firstSeed = fromEnvironment ("COPPERLEAD_FUZZ_SEED", 1);

    for (auto seed = firstSeed; seed < firstSeed + rounds; ++seed)
    {
        random.seed (seed);
        {
            const std::lock_guard lock (mutex);
            taken.clear();
        }
        const auto sent = drawRequests();
        std::string bytes;

        for (const auto& each : sent)
            bytes += encode (each);

        auto socket = RawSocket::Connect (address);
        std::thread answers ([&] { answerAll (sent.size(), seed); });
        sendInPieces (socket, bytes);

        for (const auto& each : sent)
            ASSERT_EQ (socket.Read().body, each.target + " " + each.body) << "seed " << seed;

        answers.join();
        ASSERT_TRUE (goneTargets().empty()) << "seed " << seed;
    }
}

} // namespace
} // namespace copperlead::sidecar
