/** Request bodies that are withheld until 100 Continue: the server, which decides by the head, the
    client, which waits for the decision, and the admission of bodies on the link.
*/
#include <gtest/gtest.h>

#include <future>

#include "sidecar/http/http_client.h"
#include "sidecar/instance/body_admission.h"
#include "tests/sidecar/http/holding_server.h"

namespace copperlead::sidecar
{
namespace
{

const std::string expectingHead = "POST /body HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n";
const std::string uploadHead = expectingHead + "Content-Length: 4\r\n\r\n";

/** A server whose body gate collects the requests, so that the test decides on each. */
class BodyGate : public test::HoldingServer
{
protected:
    BodyGate()
        : HoldingServer (
              [this] (HoldingServer&, ServerSettings& settings) {
                  settings.bodyGate = [this] (const ExchangePointer& exchange)
                  { onGate (exchange); };
              })
    {
    }

    void onGate (const ExchangePointer& exchange)
    {
        const std::lock_guard lock (mutex);
        exchange->onDisconnect = [this] { gateNotified = true; };
        gatedRequests.push_back (exchange);
    }

    bool awaitGatedRequests (std::size_t count)
    {
        return Eventually (
            [&]
            {
                const std::lock_guard lock (mutex);
                return gatedRequests.size() == count;
            });
    }

    void sendContinue()
    {
        reactor->RunAndWait ([&] { gatedRequests.back()->continueBody(); });
    }

    void reject()
    {
        reactor->RunAndWait (
            [&]
            {
                gatedRequests.back()->respond (
                    answerMessage ({ 503, {}, "refused", false, false }, {}), false);
            });
    }

    std::vector<ExchangePointer> gatedRequests;
    std::atomic<bool> gateNotified{ false };
};

TEST_F (BodyGate, ARequestIsDispatchedOnceItsBodyHasArrivedAfterContinue)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (uploadHead);
    ASSERT_TRUE (awaitGatedRequests (1));
    EXPECT_TRUE (receivedCountStaysAt (0));
    sendContinue();
    EXPECT_EQ (socket.Read().status(), 100);
    socket.Send ("bo");
    EXPECT_TRUE (receivedCountStaysAt (0));
    socket.Send ("dy");
    ASSERT_TRUE (awaitReceived (1));
    EXPECT_EQ (receivedRequest (0)->body, "body");
    answer (0);
    EXPECT_EQ (socket.Read().body, "/body");
    socket.Send (request ("/next"));
    ASSERT_TRUE (awaitReceived (2));
}

TEST_F (BodyGate, ARejectionByTheHeadLeavesTheConnectionUsable)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (uploadHead);
    ASSERT_TRUE (awaitGatedRequests (1));
    reject();
    EXPECT_EQ (socket.Read().body, "refused");
    socket.Send (request ("/next"));
    ASSERT_TRUE (awaitReceived (1));
    answer (0);
    EXPECT_EQ (socket.Read().body, "/next");
}

TEST_F (BodyGate, ABodySentWithoutContinueIsNeverParsedAsARequest)
{
    auto socket = RawSocket::Connect (address);
    const auto smuggled = request ("/smuggled");
    socket.Send (expectingHead + "Content-Length: " + std::to_string (smuggled.size() + 10) +
                 "\r\n\r\n");
    ASSERT_TRUE (awaitGatedRequests (1));
    socket.Send (smuggled);
    std::this_thread::sleep_for (std::chrono::milliseconds (30));
    reject();
    EXPECT_EQ (socket.Read().body, "refused");
    socket.Send (smuggled);
    EXPECT_TRUE (receivedCountStaysAt (0));
    EXPECT_TRUE (socket.AwaitClosed());
}

TEST_F (BodyGate, ADisconnectBeforeTheDecisionIsNoticed)
{
    {
        auto socket = RawSocket::Connect (address);
        socket.Send (uploadHead);
        ASSERT_TRUE (awaitGatedRequests (1));
    }

    EXPECT_TRUE (Eventually ([&] { return gateNotified.load(); }));
    sendContinue(); // This has no effect.
    EXPECT_TRUE (receivedCountStaysAt (0));
}

TEST_F (BodyGate, AMalformedBodyIsRejectedAndTheGateIsNotified)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (expectingHead + "Transfer-Encoding: chunked\r\n\r\n");
    ASSERT_TRUE (awaitGatedRequests (1));
    sendContinue();
    EXPECT_EQ (socket.Read().status(), 100);
    socket.Send ("zz\r\n");
    EXPECT_EQ (socket.Read().status(), 400);
    // The response may arrive while its handler still runs.
    reactor->RunAndWait ([&] { EXPECT_TRUE (gateNotified); });
    EXPECT_TRUE (receivedCountStaysAt (0));
}

/** A client that withholds the body of its request, with a scripted peer. */
class WithheldBody : public ::testing::Test
{
protected:
    WithheldBody()
        : reactor (Resolve ([] { return Reactor::Start(); }).value())
    {
        reactor->RunAndWait (
            [&] { client = std::make_shared<HttpClient> (reactor, ClientSettings{}); });
    }

    ~WithheldBody() override
    {
        reactor->RunAndWait ([&] { client->closeAllIdleConnections(); });
        reactor->Stop();
    }

    CallResult upload (const SocketAddress& target)
    {
        std::promise<CallResult> promise;
        reactor->RunAndWait (
            [&]
            {
                CallOptions options;
                options.deadline = SteadyClock().Now() + Milliseconds (500);
                options.headBytes = uploadHead.size();
                client->send (target, Message (uploadHead, Body ("body")), options,
                              [&] (CallResult result) { promise.set_value (std::move (result)); });
            });
        return promise.get_future().get();
    }

    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<HttpClient> client;
};

/** @returns the head of the next request on the socket, including its empty line */
std::string readHead (RawSocket& socket) { return socket.ReadToEnd (uploadHead.size()); }

TEST_F (WithheldBody, TheBodyIsSentAfterContinue)
{
    std::promise<std::string> body;
    RawServer peer (
        [&] (RawSocket& socket, int)
        {
            readHead (socket);
            socket.Send ("HTTP/1.1 100 Continue\r\n\r\n");
            body.set_value (socket.ReadToEnd (4));
            socket.Send ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    EXPECT_EQ (upload (peer.address()).body, "ok");
    EXPECT_EQ (body.get_future().get(), "body");
}

TEST_F (WithheldBody, AfterARejectionTheBodyIsNotSentAndTheConnectionIsReused)
{
    RawServer peer (
        [&] (RawSocket& socket, int)
        {
            // Reading exactly two heads shows that nothing was sent between them.
            for (int n = 0; n < 2; ++n)
            {
                const auto head = readHead (socket);
                const auto* const text = head == uploadHead ? "503 No" : "500 Wrong";
                socket.Send (std::string ("HTTP/1.1 ") + text + "\r\nContent-Length: 0\r\n\r\n");
            }
        });
    EXPECT_EQ (upload (peer.address()).head.status, 503);
    EXPECT_EQ (upload (peer.address()).head.status, 503);
    EXPECT_EQ (peer.connections(), 1);
}

TEST_F (WithheldBody, ACallThatEndsBeforeContinueHasSentNothingThatCouldRun)
{
    RawServer closing ([&] (RawSocket& socket, int) { readHead (socket); });
    EXPECT_EQ (upload (closing.address()).end, CallEnd::notConnected);

    RawServer silent (
        [&] (RawSocket& socket, int)
        {
            readHead (socket);
            socket.ReadToEnd();
        });
    EXPECT_EQ (upload (silent.address()).end, CallEnd::notConnected);

    RawServer late (
        [&] (RawSocket& socket, int)
        {
            readHead (socket);
            socket.Send ("HTTP/1.1 100 Continue\r\n\r\n");
            socket.ReadToEnd (4);
        });
    EXPECT_EQ (upload (late.address()).end, CallEnd::connectionLost);
}

/** Admission of bodies of 62,500 B, each of which takes 50 ms on a link of 10 Mbit/s. */
class Admitting : public ::testing::Test
{
protected:
    static constexpr std::size_t bytes = 62'500;

    Admitting()
        : reactor (Resolve ([] { return Reactor::Start(); }).value())
    {
        reactor->RunAndWait ([&] { bodies = std::make_shared<BodyAdmission> (reactor, 10); });
    }

    ~Admitting() override { reactor->Stop(); }

    /** @returns the result of a function that is called on the reactor's thread */
    template <typename Function>
    auto onReactor (const Function& function)
    {
        decltype (function()) result{};
        reactor->RunAndWait ([&] { result = function(); });
        return result;
    }

    std::size_t waiting()
    {
        return onReactor ([&] { return bodies->waiting(); });
    }

    BodyCounters counters()
    {
        return onReactor ([&] { return bodies->counters(); });
    }

    /** Requests admission of a body. The decision is counted in `granted` or `refused`, immediately
        or later.
    */
    BodyAdmission::Id ask (std::int64_t targetLeft = 2000, std::int64_t timeLeft = 4000)
    {
        BodyAdmission::Id id = 0;
        reactor->RunAndWait (
            [&]
            {
                mesh::HopRequest facts;
                facts.route = "upload";
                facts.targetLeft = Milliseconds (targetLeft);
                facts.timeLeft = Milliseconds (timeLeft);
                facts.usualRunMs = 100;
                id = bodies->requestAdmission (facts, bytes,
                                               [this] (bool may) { ++(may ? granted : refused); });
            });
        return id;
    }

    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<BodyAdmission> bodies;
    std::atomic<int> granted{ 0 }, refused{ 0 };
};

TEST_F (Admitting, GrantsAsManyBodiesAsTheLinkCarriesInAShortTime)
{
    std::vector<BodyAdmission::Id> ids;

    for (int n = 0; n < 20; ++n)
        ids.push_back (ask());

    const int together = granted;
    EXPECT_GE (together, 1);
    EXPECT_LE (together, 4);
    reactor->RunAndWait ([&] { bodies->arrived (ids[0], bytes); });
    EXPECT_LE (granted, together + 1);
    const auto expectedMs = onReactor ([&] { return bodies->expectedMs(); });
    EXPECT_GT (expectedMs, 900); // Nineteen bodies of 50 ms precede the next one.
}

TEST_F (Admitting, ABodyThatCannotArriveInTimeIsRefusedImmediately)
{
    for (int n = 0; n < 10; ++n)
        ask();

    // A body that takes 50 ms can't arrive in time for a run of 100 ms that must end within 120 ms.
    ask (120, 120);
    EXPECT_EQ (refused, 1);
    EXPECT_EQ (counters().refused, 1U);
}

TEST_F (Admitting, AWithdrawnBodyMakesRoomForTheNext)
{
    std::vector<BodyAdmission::Id> ids;

    for (int n = 0; n < 8; ++n)
        ids.push_back (ask());

    const int before = granted;
    reactor->RunAndWait (
        [&]
        {
            for (int n = 0; n < before; ++n)
                bodies->cancel (ids[static_cast<std::size_t> (n)]);
        });
    EXPECT_GT (granted, before);
}

TEST_F (Admitting, ASilentSenderKeepsItsPlaceNoLongerThanItsRequestLives)
{
    while (waiting() == 0)
        ask (2000, 300);

    const int before = granted;
    ask (2000, 4000);
    EXPECT_TRUE (Eventually ([&] { return granted > before; }));
}

/** Guards against a silent sender that blocks other uploads until its request expires. On links
    that carry only one or two bodies at a time, uploads remained unanswered for 5.7 and 7.5 s of
    their 8 s.
*/
TEST_F (Admitting, ASilentSenderKeepsItsPlaceForAFewTransfersOnly)
{
    BodyAdmission::Id silent = ask (2000, 8000);

    while (waiting() == 0)
        ask (2000, 8000);

    const int before = granted;
    const auto startedAt = SteadyClock().Now();
    EXPECT_TRUE (Eventually ([&] { return granted > before; }));
    EXPECT_LT (SteadyClock().Now() - startedAt, Milliseconds (2000)) << "a quarter of its time";
    reactor->RunAndWait ([&] { bodies->arrived (silent, bytes); });
    EXPECT_EQ (counters().arrived, 1U) << "a late body is still accepted";
}

} // namespace
} // namespace copperlead::sidecar
