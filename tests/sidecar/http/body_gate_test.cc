/** Bodies that are held back until the other side calls for them: the server that decides by the
    head, the client that waits for its word, and the admission between them.
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

/** A server whose gate keeps what it is asked for the test to decide. */
class BodyGate : public test::HoldingServer
{
protected:
    BodyGate()
        : HoldingServer (
              [] (HoldingServer& server, ServerSettings& settings)
              {
                  settings.bodyGate = [&self = static_cast<BodyGate&> (server)] (
                                          const ExchangePointer& exchange) { self.ask (exchange); };
              })
    {
    }

    void ask (const ExchangePointer& exchange)
    {
        const std::lock_guard lock (mutex);
        exchange->onGone = [this] { gaveUp = true; };
        asked.push_back (exchange);
    }

    bool awaitAsked (std::size_t count)
    {
        return Eventually (
            [&]
            {
                const std::lock_guard lock (mutex);
                return asked.size() == count;
            });
    }

    void callForBody()
    {
        reactor->RunAndWait ([&] { asked.back()->continueBody(); });
    }

    void refuse()
    {
        reactor->RunAndWait (
            [&] {
                asked.back()->respond (answerMessage ({ 503, {}, "refused", false, false }, {}),
                                       false);
            });
    }

    std::vector<ExchangePointer> asked;
    std::atomic<bool> gaveUp{ false };
};

TEST_F (BodyGate, ABodyComesWhenItIsCalledForAndTheRequestIsHandedOnWithIt)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (uploadHead);
    ASSERT_TRUE (awaitAsked (1));
    EXPECT_TRUE (staysAt (0));
    callForBody();
    EXPECT_EQ (socket.Read().status(), 100);
    socket.Send ("bo");
    EXPECT_TRUE (staysAt (0));
    socket.Send ("dy");
    ASSERT_TRUE (awaitTaken (1));
    EXPECT_EQ (takenAt (0)->body, "body");
    answer (0);
    EXPECT_EQ (socket.Read().body, "/body");
    socket.Send (request ("/next"));
    ASSERT_TRUE (awaitTaken (2));
}

TEST_F (BodyGate, ARefusalByTheHeadLeavesTheConnectionGood)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (uploadHead);
    ASSERT_TRUE (awaitAsked (1));
    refuse();
    EXPECT_EQ (socket.Read().body, "refused");
    socket.Send (request ("/next"));
    ASSERT_TRUE (awaitTaken (1));
    answer (0);
    EXPECT_EQ (socket.Read().body, "/next");
}

TEST_F (BodyGate, ABodyThatComesUnaskedIsNeverTakenForARequest)
{
    auto socket = RawSocket::Connect (address);
    const auto smuggled = request ("/smuggled");
    socket.Send (expectingHead + "Content-Length: " + std::to_string (smuggled.size() + 10) +
                 "\r\n\r\n");
    ASSERT_TRUE (awaitAsked (1));
    socket.Send (smuggled);
    std::this_thread::sleep_for (std::chrono::milliseconds (30));
    refuse();
    EXPECT_EQ (socket.Read().body, "refused");
    EXPECT_TRUE (socket.AwaitClosed());
    EXPECT_TRUE (staysAt (0));
}

TEST_F (BodyGate, AClientThatLeavesBeforeTheDecisionIsNoticed)
{
    {
        auto socket = RawSocket::Connect (address);
        socket.Send (uploadHead);
        ASSERT_TRUE (awaitAsked (1));
    }

    EXPECT_TRUE (Eventually ([&] { return gaveUp.load(); }));
    callForBody(); // Goes nowhere.
    EXPECT_TRUE (staysAt (0));
}

TEST_F (BodyGate, AMalformedBodyIsRefusedAndTheGateIsTold)
{
    auto socket = RawSocket::Connect (address);
    socket.Send (expectingHead + "Transfer-Encoding: chunked\r\n\r\n");
    ASSERT_TRUE (awaitAsked (1));
    callForBody();
    EXPECT_EQ (socket.Read().status(), 100);
    socket.Send ("zz\r\n");
    EXPECT_EQ (socket.Read().status(), 400);
    EXPECT_TRUE (gaveUp);
    EXPECT_TRUE (staysAt (0));
}

/** A client whose request holds its body back, against a peer that does as it is told. */
class HoldingBack : public ::testing::Test
{
protected:
    HoldingBack()
        : reactor (Resolve ([] { return Reactor::Start(); }).value())
    {
        reactor->RunAndWait (
            [&] { client = std::make_shared<HttpClient> (reactor, ClientSettings{}); });
    }

    ~HoldingBack() override
    {
        reactor->RunAndWait ([&] { client->dropAllIdle(); });
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
                client->send (target, uploadHead + "body", options,
                              [&] (CallResult result) { promise.set_value (std::move (result)); });
            });
        return promise.get_future().get();
    }

    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<HttpClient> client;
};

/** The head of the next request on the socket, up to its empty line. */
std::string readHead (RawSocket& socket) { return socket.ReadToEnd (uploadHead.size()); }

TEST_F (HoldingBack, TheBodyFollowsTheWordToGoOn)
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

TEST_F (HoldingBack, AfterARefusalTheBodyIsNotSentAndTheConnectionIsUsedAgain)
{
    RawServer peer (
        [&] (RawSocket& socket, int)
        {
            // Reading exactly two heads shows that nothing stood between them.
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

TEST_F (HoldingBack, WhatEndsBeforeTheWordHasSentNothingThatCouldRun)
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

/** Bodies of 62,500 B, each 50 ms of a link of 10 Mbit/s. */
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

    /** Asks for a body; what is decided stands in `granted` and `refused` by then or later. */
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
                id = bodies->ask (facts, bytes, [this] (bool may) { ++(may ? granted : refused); });
            });
        return id;
    }

    std::shared_ptr<Reactor> reactor;
    std::shared_ptr<BodyAdmission> bodies;
    std::atomic<int> granted{ 0 }, refused{ 0 };
};

TEST_F (Admitting, AsManyComeTogetherAsTheLinkHoldsInShortTime)
{
    std::vector<BodyAdmission::Id> ids;

    for (int n = 0; n < 20; ++n)
        ids.push_back (ask());

    const int together = granted;
    EXPECT_GE (together, 1);
    EXPECT_LE (together, 4);
    reactor->RunAndWait ([&] { bodies->arrived (ids[0], bytes); });
    EXPECT_LE (granted, together + 1);
    EXPECT_GT (bodies->expectedMs(), 900); // Nineteen bodies of 50 ms are before the next.
}

TEST_F (Admitting, WhatCannotArriveInTimeIsRefusedAtOnce)
{
    for (int n = 0; n < 10; ++n)
        ask();

    // A body that takes 50 ms can't be there before a run of 100 ms that must end in 120.
    ask (120, 120);
    EXPECT_EQ (refused, 1);
    EXPECT_EQ (bodies->counters().refused, 1U);
}

TEST_F (Admitting, OneThatLeavesMakesRoomForTheNext)
{
    std::vector<BodyAdmission::Id> ids;

    for (int n = 0; n < 8; ++n)
        ids.push_back (ask());

    const int before = granted;
    reactor->RunAndWait (
        [&]
        {
            for (int n = 0; n < before; ++n)
                bodies->left (ids[static_cast<std::size_t> (n)]);
        });
    EXPECT_GT (granted, before);
}

TEST_F (Admitting, ASilentSenderKeepsItsPlaceNoLongerThanItsRequestLives)
{
    while (bodies->waiting() == 0)
        ask (2000, 300);

    const int before = granted;
    ask (2000, 4000);
    EXPECT_TRUE (Eventually ([&] { return granted > before; }));
}

/** Uploads were unanswered after 5.7 and 7.5 s of 8 on links that hold one or two bodies. */
TEST_F (Admitting, ASilentSenderKeepsItsPlaceForAFewTransfersOnly)
{
    BodyAdmission::Id silent = ask (2000, 8000);

    while (bodies->waiting() == 0)
        ask (2000, 8000);

    const int before = granted;
    const auto begunAt = SteadyClock().Now();
    EXPECT_TRUE (Eventually ([&] { return granted > before; }));
    EXPECT_LT (SteadyClock().Now() - begunAt, Milliseconds (2000)) << "a quarter of its time";
    reactor->RunAndWait ([&] { bodies->arrived (silent, bytes); });
    EXPECT_EQ (bodies->counters().arrived, 1U) << "it is taken when it comes after all";
}

} // namespace
} // namespace copperlead::sidecar
