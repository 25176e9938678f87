#include "sidecar/last_hop.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "tests/proxy/raw_socket.h"

namespace copperlead::sidecar
{
namespace
{

/** A last hop beside an instance that answers each request with its id. */
class LastHopTest : public ::testing::Test
{
protected:
    LastHopTest()
        : reactor (Resolve ([] { return Reactor::Start(); }).value())
        , instance (
              [] (RawSocket& socket, int)
              {
                  for (auto request = socket.Read(); ! request.head.empty();
                       request = socket.Read())
                      socket.Send ("HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Signature: s\r\n"
                                   "Content-Length: 2\r\n\r\nok");
              })
    {
        LastHopSettings settings;
        settings.names.requestId = "X-Id";
        settings.names.signature = "X-Signature";
        settings.instanceAddress = instance.address();
        settings.service = "desk";
        reactor->RunAndWait (
            [&]
            {
                hop = std::make_shared<LastHop> (
                    reactor, settings, std::make_shared<DecisionLog> ("n", STDERR_FILENO));
                mesh::InstanceDirectory directory;
                mesh::Instance listed;
                listed.id = "i-1";
                listed.service = "desk";
                listed.address = instance.address();
                directory.put (SteadyClock().Now(), listed, 1);
                hop->setDirectory (SteadyClock().Now(), *directory.snapshot());
            });
    }

    ~LastHopTest() override { reactor->Stop(); }

    void start (bool abandoned)
    {
        reactor->RunAndWait (
            [&]
            {
                HopCall call;
                call.facts.requestId = "q";
                call.facts.service = "desk";
                call.facts.timeLeft = Milliseconds (1000);
                call.method = "GET";
                call.target = "/";
                call.abandoned = [abandoned] { return abandoned; };
                hop->start (std::move (call),
                            [this] (HopAnswer answer) { status = answer.status; });
            });
    }

    std::shared_ptr<Reactor> reactor;
    RawServer instance;
    std::shared_ptr<LastHop> hop;
    std::atomic<int> status{ -1 };
};

TEST_F (LastHopTest, AnAnswerComesBack)
{
    start (false);
    EXPECT_TRUE (Eventually ([&] { return status == 200; }));
}

TEST_F (LastHopTest, WhatItsCallerHasLeftNeverReachesTheInstance)
{
    start (true);
    std::this_thread::sleep_for (std::chrono::milliseconds (100));
    EXPECT_EQ (instance.connections(), 0);
    EXPECT_EQ (status, -1);
    // It holds no slot either: the only one serves the next.
    start (false);
    EXPECT_TRUE (Eventually ([&] { return status == 200; }));
}

TEST_F (LastHopTest, LeavesNothingBehindWhenItIsLetGo)
{
    start (false);
    ASSERT_TRUE (Eventually ([&] { return status == 200; }));
    reactor->RunAndWait ([&] { hop.reset(); });
    reactor->Stop();
    EXPECT_EQ (reactor.use_count(), 1);
}

} // namespace
} // namespace copperlead::sidecar
