#include "sidecar/instance/last_hop.h"

#include <gtest/gtest.h>

#include <atomic>
#include <set>
#include <thread>

#include "tests/proxy/raw_socket.h"
#include "tests/sidecar/instance/last_hop_fixtures.h"

namespace copperlead::sidecar
{
namespace
{

/** A last hop beside an instance that answers each request and repeats its request id. */
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
        createHop (instance.address());
    }

    ~LastHopTest() override { reactor->Stop(); }

    /** Creates the hop, or replaces it, for the instance at an address. */
    void createHop (const SocketAddress& address)
    {
        reactor->RunAndWait (
            [&]
            {
                hop = makeLastHop (reactor, settingsBeside (address));
                mesh::InstanceDirectory directory;
                directory.put (SteadyClock().Now(), deskAt (address, "i-1", 0), { 0, 1 });
                hop->setDirectory (SteadyClock().Now(), *directory.snapshot());
            });
    }

    void start (bool abandoned)
    {
        reactor->RunAndWait (
            [&]
            {
                auto call = callToDesk (Milliseconds (1000));
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

TEST_F (LastHopTest, ReturnsTheAnswerOfTheInstance)
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
    // The abandoned request doesn't hold the only slot either, so the next request is served.
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

/** A last hop beside an instance that ends during its first request and restarts at once with
    another id. The new one rejects requests that are addressed to the previous one.
*/
class RestartedInstanceTest : public LastHopTest
{
protected:
    RestartedInstanceTest()
        : restartingInstance (
              [this] (RawSocket& socket, int)
              {
                  for (auto request = socket.Read(); ! request.head.empty();
                       request = socket.Read())
                  {
                      if (requests++ == 0)
                          return;

                      socket.Send ("HTTP/1.1 421 Other\r\nX-Id: q\r\nX-Instance: i-2\r\n"
                                   "Content-Length: 0\r\n\r\n");
                  }
              })
    {
        createHop (restartingInstance.address());
    }

    std::atomic<int> requests{ 0 };
    RawServer restartingInstance;
};

TEST_F (RestartedInstanceTest, TheFirstAnswerOfTheNextIncarnationRevealsTheCrash)
{
    start (false);
    ASSERT_TRUE (Eventually ([&] { return status == 0; }));
    start (false);
    ASSERT_TRUE (Eventually ([&] { return requests >= 2; }));
    EXPECT_TRUE (Eventually (
        [&]
        {
            std::uint64_t crashes = 0;
            reactor->RunAndWait ([&] { crashes = hop->counters().crashes; });
            return crashes == 1;
        }));
}

/** A last hop beside an instance that reports in its health answers for how long it stays cold. */
class ColdInstanceTest : public ::testing::Test
{
protected:
    /** Requests per second that the cold instance tolerates. It fails at twice this rate. */
    static constexpr double toleratedRate = 5;

    static constexpr int maxStartsPerSecond = 9; // 0.95 of twice the tolerated rate.
    static constexpr int initialStarts = 1; // While it is unknown what the previous process sent.
    static constexpr int manyRequests = 30;

    ColdInstanceTest()
        : reactor (Resolve ([] { return Reactor::Start(); }).value())
        , instance ([this] (RawSocket& socket, int) { serve (socket); })
    {
        auto settings = settingsBeside (instance.address());
        settings.names.coldTime = "X-Cold";
        settings.zone = "z1";
        settings.coldBounds = { 2, 0 };
        reactor->RunAndWait (
            [&]
            {
                hop = makeLastHop (reactor, settings);
                list ("i-1");
            });
    }

    ~ColdInstanceTest() override { reactor->Stop(); }

    void serve (RawSocket& socket)
    {
        for (auto request = socket.Read(); ! request.head.empty(); request = socket.Read())
        {
            const bool isHealth = request.head.find ("GET /health") == 0;
            ++(isHealth ? probes : runs);
            socket.Send ("HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Signature: s\r\n" +
                         (isHealth ? healthFields() : std::string()) +
                         "Content-Length: 2\r\n\r\nok");
        }
    }

    std::string healthFields() const
    {
        const std::string name = "X-Instance: i-" + std::to_string (incarnation) + "\r\n";
        return coldMs == 0 ? name : name + "X-Cold: " + std::to_string (coldMs) + "\r\n";
    }

    /** Has to be called on the reactor's thread. */
    void list (const std::string& id, const std::set<std::string>& evacuated = {})
    {
        auto listed = deskAt (instance.address(), id, ++revision);
        listed.slots = 50;
        directory.put (SteadyClock().Now(), listed, { 0, revision });
        directory.setEvacuatedZones (evacuated);
        hop->setDirectory (SteadyClock().Now(), *directory.snapshot());
    }

    void configure()
    {
        reactor->RunAndWait (
            [&] {
                hop->setServiceSettings (
                    { "/health", 100, { Milliseconds (3000), toleratedRate } });
            });
    }

    double coldMsNow()
    {
        double left = 0;
        reactor->RunAndWait ([&] { left = hop->coldMs (SteadyClock().Now()); });
        return left;
    }

    /** Configures the hop and waits until it has received that the instance is warm. */
    void configureWarm()
    {
        coldMs = 0;
        configure();
        ASSERT_TRUE (Eventually ([&] { return coldMsNow() <= 0; }));
    }

    /** Starts `count` requests whose clients wait for `wait`. */
    void start (int count, Milliseconds wait)
    {
        reactor->RunAndWait (
            [&]
            {
                for (int i = 0; i < count; ++i)
                {
                    auto call = callToDesk (wait);
                    call.facts.targetLeft = wait;
                    call.facts.usualRunMs = 10;
                    hop->start (std::move (call),
                                [this] (const HopAnswer& answer) { ended (answer.report); });
                }
            });
    }

    void ended (const mesh::HopReport& report)
    {
        ++(report.outcome == mesh::HopOutcome::ran ? served : refused);

        if (report.outcome != mesh::HopOutcome::ran)
            cause = report.cause;
    }

    static constexpr int implausible = -1; // Not a valid time, so the hop can't use it.

    std::atomic<int> coldMs{ implausible }, incarnation{ 1 }, probes{ 0 }, runs{ 0 };
    std::atomic<int> served{ 0 }, refused{ 0 };
    std::atomic<mesh::HopCause> cause{ mesh::HopCause::none };
    std::shared_ptr<Reactor> reactor;
    RawServer instance;
    mesh::InstanceDirectory directory;
    std::uint64_t revision = 0;
    std::shared_ptr<LastHop> hop;
};

TEST_F (ColdInstanceTest, AnInstanceNotKnownToBeWarmGetsNoMoreThanItTolerates)
{
    configure();
    start (manyRequests, Milliseconds (600));
    EXPECT_TRUE (Eventually ([&] { return served + refused == manyRequests; }));
    EXPECT_EQ (runs, initialStarts);
    EXPECT_EQ (served, initialStarts);
    EXPECT_EQ (cause, mesh::HopCause::instanceCold) << "and said so at once";
}

TEST_F (ColdInstanceTest, RequestsBeyondTheLimitOfOneSecondStartLater)
{
    configure();
    start (maxStartsPerSecond, Milliseconds (2500));
    EXPECT_TRUE (Eventually ([&] { return runs == initialStarts; }));
    std::this_thread::sleep_for (std::chrono::milliseconds (300));
    EXPECT_EQ (runs, initialStarts);
    EXPECT_TRUE (Eventually ([&] { return served == maxStartsPerSecond; }));
    EXPECT_EQ (refused, 0);
}

TEST_F (ColdInstanceTest, AnInstanceThatReportsToBeWarmGetsAllRequests)
{
    configureWarm();
    start (manyRequests, Milliseconds (600));
    EXPECT_TRUE (Eventually ([&] { return served == manyRequests; }));
    EXPECT_EQ (probes, 1);
}

TEST_F (ColdInstanceTest, AnInstanceIsColdAfterAnEvacuationUntilItReportsOtherwise)
{
    configureWarm();
    reactor->RunAndWait ([&] { list ("i-1", { "z1" }); });
    start (1, Milliseconds (600));
    EXPECT_EQ (refused, 1);
    EXPECT_EQ (cause, mesh::HopCause::zoneEvacuated);

    coldMs = implausible;
    reactor->RunAndWait ([&] { list ("i-1"); });
    start (manyRequests, Milliseconds (600));
    EXPECT_TRUE (Eventually ([&] { return served + refused == manyRequests + 1; }));
    EXPECT_EQ (served, initialStarts);
}

TEST_F (ColdInstanceTest, ANewInstanceAtTheAddressIsCold)
{
    configureWarm();
    coldMs = 5000;
    incarnation = 2;
    reactor->RunAndWait ([&] { list ("i-2"); });
    start (manyRequests, Milliseconds (600));
    EXPECT_TRUE (Eventually ([&] { return served + refused == manyRequests; }));
    EXPECT_EQ (served, maxStartsPerSecond);
    EXPECT_GT (coldMsNow(), 3500) << "the time that the instance reported, not the configured one";
}

} // namespace
} // namespace copperlead::sidecar
