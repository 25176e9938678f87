/** Large bodies that are passed on as they arrive, through a server and a client as in a sidecar.
 */
#include <gtest/gtest.h>

#include <array>
#include <cstdio>

#include "sidecar/http/http_client.h"
#include "sidecar/http/http_server.h"
#include "sidecar/http/messages.h"
#include "tests/proxy/raw_socket.h"

namespace copperlead::sidecar
{
namespace
{

constexpr std::size_t largeBytes = 4 << 20;

/** A proxy whose pools hold a few large bodies on their way, in front of a back end that the test
    scripts.
*/
class StreamingProxy : public ::testing::Test
{
protected:
    explicit StreamingProxy (RawServer::Serve serve)
        : backEnd (std::move (serve))
    {
        const mesh::BufferAccount account (2 * BodyStream::reservedBytes + 2 * mesh::wholeBodyBytes,
                                           0, 2);
        pool = std::make_shared<BufferPool> (reactor, account);
        reactor->RunAndWait ([this] { start(); });
    }

    StreamingProxy()
        : StreamingProxy ([this] (RawSocket& socket, int) { serve (socket); })
    {
    }

    ~StreamingProxy() override
    {
        reactor->RunAndWait (
            [this]
            {
                server->stopListening();
                client->closeAllIdleConnections();
            });
        reactor->Stop();
    }

    void start()
    {
        ClientSettings clientSettings;
        clientSettings.answerPools = { pool, pool, nullptr };
        clientSettings.streamsAnswers = true;
        client = std::make_shared<HttpClient> (reactor, clientSettings);
        ServerSettings settings;
        settings.limits = []
        {
            mesh::ClientLimits limits;
            limits.bodyBytes = 2 * largeBytes;
            return limits;
        };
        settings.errorMessage = [] (int status, std::string_view cause)
        { return localAnswer (status, cause, {}, true, false); };
        settings.bodyPools = { pool, pool,
                               std::make_shared<BufferPool> (
                                   reactor, mesh::BufferAccount (2 * largeBytes, 0, 1)) };
        settings.streamsBodies = true;
        settings.handler = [this] (const ExchangePointer& exchange) { handle (exchange); };
        server = std::make_shared<HttpServer> (reactor, settings);
        EXPECT_TRUE (Resolve ([&] { return server->listen ({ "127.0.0.1", 0 }); }));
        address = server->address();
    }

    void handle (const ExchangePointer& exchange)
    {
        if (exchange->head.target == "/held")
        {
            held = exchange;
            return;
        }

        CallOptions options;
        options.deadline = SteadyClock().Now() + std::chrono::seconds (10);
        const HeaderFields fields{ { "Host", "h" } };
        auto call = client->send (
            backEnd.address(),
            requestMessage (exchange->head.method, exchange->head.target, fields, exchange->body),
            options, [this, exchange] (const CallResult& result) { pass (*exchange, result); });
        exchange->onDisconnect = [call] { call->cancel(); };
    }

    void pass (Exchange& exchange, const CallResult& result)
    {
        end = result.end;
        exchange.body = {};
        const bool answered = result.end == CallEnd::answered;
        exchange.respond (answerMessage ({ answered ? result.head.status : 502,
                                           {},
                                           {},
                                           exchange.mustClose(),
                                           false,
                                           exchange.isOldClient() },
                                         {}, answered ? result.body : Body()),
                          exchange.mustClose());
    }

    /** Answers uploads with their size, and downloads with `largeBytes` bytes. */
    virtual void serve (RawSocket& socket)
    {
        for (auto request = socket.Read(); ! request.head.empty(); request = socket.Read())
        {
            received = request.body.size();

            if (! request.complete)
                return;

            const auto text = request.head.find ("/down") == std::string::npos
                                  ? std::to_string (request.body.size())
                                  : std::string (largeBytes, 'd');
            socket.Send ("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string (text.size()) +
                         "\r\n\r\n" + text);
        }
    }

    static std::string uploadHead (const std::string& target)
    {
        return "POST " + target +
               " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string (largeBytes) +
               "\r\n\r\n";
    }

    std::size_t used()
    {
        std::size_t bytes = 0;
        reactor->RunAndWait ([&] { bytes = pool->used(); });
        return bytes;
    }

    std::shared_ptr<Reactor> reactor = Resolve ([] { return Reactor::Start(); }).value();
    std::shared_ptr<BufferPool> pool;
    std::shared_ptr<HttpServer> server;
    std::shared_ptr<HttpClient> client;
    SocketAddress address;
    ExchangePointer held;
    std::atomic<CallEnd> end{ CallEnd::answered };
    std::atomic<std::size_t> received{ 0 };
    RawServer backEnd;
};

TEST_F (StreamingProxy, LargeBodiesPassBothWaysOnOneConnection)
{
    auto socket = RawSocket::Connect (address);

    for (int i = 0; i < 3; ++i)
    {
        socket.Send (uploadHead ("/up") + std::string (largeBytes, 'u'));
        EXPECT_EQ (socket.Read().body, std::to_string (largeBytes));
        socket.Send ("GET /down HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_EQ (socket.Read().body, std::string (largeBytes, 'd'));
    }

    EXPECT_TRUE (Eventually ([&] { return used() == 0; }));
    EXPECT_EQ (backEnd.connections(), 1) << "it stays usable after a large body";
}

TEST_F (StreamingProxy, UploadsOfAllSizesArriveWhole)
{
    for (const std::size_t bytes : { 0, 1, 16'000, 16'383, 16'384, 16'385, 17'000, 40'000, 70'000,
                                     655'359, 655'360, 655'361, 700'000, 800'000 })
        for (const bool chunked : { false, true })
        {
            auto socket = RawSocket::Connect (address);
            std::array<char, 20> chunkHead{};
            std::snprintf (chunkHead.data(), chunkHead.size(), "%zx\r\n", bytes);
            const std::string body (bytes, 'u'), end = "0\r\n\r\n";
            socket.Send ("POST /up HTTP/1.1\r\nHost: h\r\n" +
                         (chunked
                              ? "Transfer-Encoding: chunked\r\n\r\n" +
                                    (bytes > 0 ? chunkHead.data() + body + "\r\n" : "") + end
                              : "Content-Length: " + std::to_string (bytes) + "\r\n\r\n" + body));
            EXPECT_EQ (socket.Read().body, std::to_string (bytes)) << bytes << chunked;
        }
}

TEST_F (StreamingProxy, AnswersWaitForMemoryUntilOthersHaveBeenRead)
{
    std::vector<std::thread> threads;
    std::atomic<int> whole{ 0 };

    for (int i = 0; i < 12; ++i)
        threads.emplace_back (
            [&]
            {
                auto socket = RawSocket::Connect (address);
                socket.Send ("GET /down HTTP/1.1\r\nHost: h\r\n\r\n");
                whole += socket.Read().body == std::string (largeBytes, 'd');
            });

    for (auto& thread : threads)
        thread.join();

    EXPECT_GE (whole, 4);
    EXPECT_TRUE (Eventually ([&] { return used() == 0; }));
}

TEST_F (StreamingProxy, WhatNobodyTakesIsNotRead)
{
    auto socket = RawSocket::Connect (address);
    std::thread sender ([&]
                        { socket.Send (uploadHead ("/held") + std::string (largeBytes, 'u')); });
    EXPECT_TRUE (Eventually (
        [&]
        {
            bool isFull = false;
            reactor->RunAndWait ([&]
                                 { isFull = held != nullptr && held->body.stream()->room() == 0; });
            return isFull;
        }));
    EXPECT_EQ (used(), mesh::identifyingBodyBytes + BodyStream::reservedBytes);
    reactor->RunAndWait (
        [&]
        {
            EXPECT_EQ (held->body.size(), largeBytes);
            EXPECT_EQ (held->body.bytes().size(), mesh::identifyingBodyBytes);
            EXPECT_FALSE (held->body.stream()->wasTouched());
            held->respond (localAnswer (503, "later", {}, held->mustClose(), false), false);
            held = nullptr;
        });
    // The rest of the body would be parsed as a request.
    EXPECT_EQ (socket.Read().Header ("connection"), "close");
    EXPECT_TRUE (socket.AwaitClosed());
    sender.join();
    EXPECT_EQ (used(), 0U);
}

/** Guards against an upload that its client breaks off and that reaches the instance as complete.
 */
TEST_F (StreamingProxy, ABodyThatIsBrokenOffIsNotCompleteAtTheBackEnd)
{
    {
        auto socket = RawSocket::Connect (address);
        socket.Send (uploadHead ("/up") + std::string (largeBytes / 2, 'u'));
        EXPECT_TRUE (Eventually ([&] { return used() > 0; }));
    }

    EXPECT_TRUE (Eventually ([&] { return received > 0; }));
    EXPECT_LT (received, largeBytes);
    EXPECT_TRUE (Eventually ([&] { return used() == 0; }));
}

TEST_F (StreamingProxy, AClientThatStopsReadingAndLeavesFreesTheMemory)
{
    {
        auto socket = RawSocket::Connect (address);

        // The buffers of the two sockets may hold one answer.
        for (int i = 0; i < 4; ++i)
            socket.Send ("GET /down HTTP/1.1\r\nHost: h\r\n\r\n");

        EXPECT_TRUE (Eventually ([&] { return used() > 0; }));
        socket.ReadToEnd (1);
    }

    EXPECT_TRUE (Eventually ([&] { return used() == 0; }));
}

/** A back end that sends a large answer without a length, or only a part of one with a length. */
class UnusualAnswers : public StreamingProxy
{
protected:
    UnusualAnswers()
        : StreamingProxy ([] (RawSocket& socket, int) { answer (socket); })
    {
    }

    static void answer (RawSocket& socket)
    {
        const auto head = socket.Read().head;
        const auto target = head.substr (0, head.find (" HTTP"));
        const bool isSized = target.find ("/size") != std::string::npos;
        const auto bytes =
            isSized ? std::stoul (target.substr (target.rfind ('/') + 1)) : largeBytes;
        const std::string start = "HTTP/1.1 200 OK\r\n", body (bytes, 'd');
        std::array<char, 20> chunkHead{};
        std::snprintf (chunkHead.data(), chunkHead.size(), "%zx\r\n", bytes);

        if (head.find ("/cut") != std::string::npos)
            socket.Send (start + "Content-Length: " + std::to_string (largeBytes + 1) + "\r\n\r\n" +
                         body);
        else if (head.find ("/reset") != std::string::npos)
        {
            socket.Send (start + "\r\n" + body);
            std::this_thread::sleep_for (std::chrono::milliseconds (200)); // Until it is read.
            socket.Reset();
        }
        else if (target.find ("chunked") != std::string::npos)
            socket.Send (start + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
                         (bytes > 0 ? chunkHead.data() + body + "\r\n" : "") + "0\r\n\r\n");
        else if (head.find ("-framed") != std::string::npos)
            socket.Send (start + "Connection: close\r\nContent-Length: " + std::to_string (bytes) +
                         "\r\n\r\n" + body);
        else
            socket.Send (start + "\r\n" + body);
    }

    RawMessage get (RawSocket& socket, const std::string& target,
                    const std::string& version = "1.1") const
    {
        socket.Send ("GET " + target + " HTTP/" + version + "\r\nHost: h\r\n\r\n");
        return socket.Read();
    }
};

TEST_F (UnusualAnswers, ThoseWithoutALengthArriveWhole)
{
    for (const auto* target : { "/unframed", "/chunked" })
    {
        auto socket = RawSocket::Connect (address);
        const auto answer = get (socket, target);
        EXPECT_TRUE (answer.complete) << target;
        EXPECT_EQ (answer.body, std::string (largeBytes, 'd')) << target;
        EXPECT_EQ (answer.Header ("transfer-encoding"), "chunked");
    }
}

/** Guards against the end of a body that has been read and stays behind when memory is reserved. */
TEST_F (UnusualAnswers, ThoseOfAllSizesArriveWhole)
{
    for (const std::size_t bytes : { 0, 1, 16'000, 16'383, 16'384, 16'385, 17'000, 40'000, 70'000,
                                     655'359, 655'360, 655'361, 700'000, 800'000 })
        for (const auto* kind : { "/size-chunked/", "/size-unframed/", "/size-framed/" })
        {
            auto socket = RawSocket::Connect (address);
            const auto answer = get (socket, kind + std::to_string (bytes));
            EXPECT_TRUE (answer.complete) << kind << bytes;
            EXPECT_EQ (answer.body.size(), bytes) << kind << bytes;
            EXPECT_EQ (answer.body, std::string (bytes, 'd')) << kind << bytes;
        }
}

TEST_F (UnusualAnswers, AClientThatKnowsNoChunksGetsThemUntilTheConnectionEnds)
{
    auto socket = RawSocket::Connect (address);
    const auto answer = get (socket, "/chunked", "1.0");
    EXPECT_EQ (answer.body, std::string (largeBytes, 'd'));
    EXPECT_EQ (answer.Header ("transfer-encoding"), "");
    EXPECT_FALSE (socket.was_reset());
}

/** Guards against an answer that ends early and looks complete. */
TEST_F (UnusualAnswers, AnAnswerThatIsCutOffIsNotComplete)
{
    for (const auto* target : { "/cut", "/reset" })
    {
        auto socket = RawSocket::Connect (address);
        EXPECT_FALSE (get (socket, target).complete) << target;
    }

    auto old = RawSocket::Connect (address);
    get (old, "/reset", "1.0");
    EXPECT_TRUE (old.was_reset()) << "without a length, only a reset shows it";
    EXPECT_TRUE (Eventually ([&] { return used() == 0; }));
}

} // namespace
} // namespace copperlead::sidecar
