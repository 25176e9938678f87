/** Tests of a last hop beside an instance that states a limit, or that it leaves. */
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "tests/proxy/raw_socket.h"
#include "tests/sidecar/instance/last_hop_fixtures.h"

namespace copperlead::sidecar
{
namespace
{

/** The instance answers with the fields that the test sets, after the time that it sets. */
class StatingInstanceTest : public ::testing::Test
{
protected:
    StatingInstanceTest()
        : reactor (Resolve ([] { return Reactor::Start(); }).value())
        , instance ([this] (RawSocket& socket, int) { serve (socket); })
    {
        createHop();
    }

    ~StatingInstanceTest() override { reactor->Stop(); }

    /** Creates the hop, or replaces it as after a restart of its node. */
    void createHop()
    {
        auto settings = settingsBeside (instance.address());
        settings.names.rateLimit = "X-Limit";
        settings.names.leaving = "X-Leaving";
        reactor->RunAndWait (
            [&]
            {
                hop = makeLastHop (reactor, settings);
                hop->setServiceSettings ({ "/health", 100, {} });
                list ("i-1");
            });
    }

    /** Has to be called on the reactor's thread. */
    void list (const std::string& id, std::uint64_t startTimeMs = 0)
    {
        auto listed = deskAt (instance.address(), id, ++revision);
        listed.slots = 50;
        listed.startTimeMs = startTimeMs;
        directory.put (SteadyClock().Now(), listed, { 0, revision });
        hop->setDirectory (SteadyClock().Now(), *directory.snapshot());
    }

    void serve (RawSocket& socket)
    {
        for (auto request = socket.Read(); ! request.head.empty(); request = socket.Read())
        {
            const bool isHealth = request.head.find ("GET /health") == 0;
            ++(isHealth ? probes : runs);
            const std::scoped_lock lock (mutex);
            socket.Send ("HTTP/1.1 200 OK\r\nX-Id: q\r\nX-Signature: s\r\n" +
                         (isHealth ? "X-Instance: " + instanceId + "\r\n" + healthFields : fields) +
                         "Content-Length: 2\r\n\r\nok");
        }
    }

    void state (const std::string& lines, const std::string& healthLines = "")
    {
        const std::scoped_lock lock (mutex);
        fields = lines;
        healthFields = healthLines;
    }

    HopCall makeCall (Milliseconds wait) const
    {
        auto call = callToDesk (wait);
        call.facts.instanceId = "i-1";
        call.facts.targetLeft = wait;
        call.facts.usualRunMs = 10;
        call.facts.statedLimit = senderLimit;
        return call;
    }

    /** Starts requests and waits until all have ended. @returns the number that were served */
    int call (int count, Milliseconds wait = Milliseconds (50))
    {
        std::atomic<int> served{ 0 }, ended{ 0 };
        reactor->RunAndWait (
            [&]
            {
                for (int i = 0; i < count; ++i)
                    hop->start (makeCall (wait),
                                [&] (const HopAnswer& answer)
                                {
                                    record (answer);
                                    served += answer.report.outcome == mesh::HopOutcome::ran;
                                    ++ended;
                                });
            });
        EXPECT_TRUE (Eventually ([&] { return ended == count; }));
        return served;
    }

    void record (const HopAnswer& answer)
    {
        const std::scoped_lock lock (mutex);
        (answer.report.outcome == mesh::HopOutcome::ran ? lastServed : lastRefused) = answer;
    }

    template <typename Value>
    Value onReactor (const std::function<Value()>& read)
    {
        Value value{};
        reactor->RunAndWait ([&] { value = read(); });
        return value;
    }

    std::optional<double> limit()
    {
        return onReactor<std::optional<double>> (
            [&] { return hop->admission().rateLimit().requestsPerSecond(); });
    }

    std::uint64_t unusableFields()
    {
        return onReactor<std::uint64_t> ([&] { return hop->counters().unusableFields; });
    }

    /** Calls tick() as the sidecar does, for this long. */
    void tickFor (Milliseconds duration)
    {
        for (const auto end = SteadyClock().Now() + duration; SteadyClock().Now() < end;
             std::this_thread::sleep_for (Milliseconds (100)))
            reactor->RunAndWait ([&] { hop->tick (SteadyClock().Now()); });
    }

    std::optional<double> senderLimit;
    std::atomic<int> probes{ 0 }, runs{ 0 };
    std::mutex mutex;
    std::string fields, healthFields, instanceId = "i-1";
    HopAnswer lastServed, lastRefused;
    std::shared_ptr<Reactor> reactor;
    RawServer instance;
    mesh::InstanceDirectory directory;
    std::uint64_t revision = 0;
    std::shared_ptr<LastHop> hop;
};

TEST_F (StatingInstanceTest, ALimitIsEnforcedFromTheFirstAnswerThatStatesIt)
{
    state ("X-Limit: 10\r\n");
    EXPECT_EQ (call (1), 1);
    EXPECT_LE (call (30), 1);
    EXPECT_EQ (lastRefused.report.cause, mesh::HopCause::instanceLimited);
    EXPECT_EQ (lastRefused.report.outcome, mesh::HopOutcome::notRun);
    EXPECT_EQ (lastRefused.report.statedLimit, 10);
    EXPECT_GT (lastRefused.report.availableMs, 0);
    EXPECT_LE (lastRefused.report.availableMs, 200);
    EXPECT_EQ (call (4, Milliseconds (1000)), 4) << "those that can wait run later";
}

TEST_F (StatingInstanceTest, ALimitEndsWithTheFirstAnswerThatStatesNone)
{
    state ("X-Limit: 5\r\n");
    call (1);
    EXPECT_EQ (limit(), 5);
    state ("");
    call (1, Milliseconds (1000));
    EXPECT_EQ (limit(), std::nullopt);
    EXPECT_EQ (call (30), 30);
}

/** Guards against an instance that gets no request and so can't state that its limit has ended. */
TEST_F (StatingInstanceTest, TheEndOfALimitOfZeroIsNoticedWithoutRequests)
{
    state ("X-Limit: 0\r\n", "X-Limit: 0\r\n");
    call (1);
    EXPECT_EQ (call (10), 0);
    tickFor (Milliseconds (2500));
    EXPECT_GE (probes, 1);
    EXPECT_EQ (call (10), 0) << "the health answer states it, too";
    state ("", "");
    tickFor (Milliseconds (2500));
    EXPECT_EQ (call (1), 1);
    EXPECT_EQ (call (10), 10);
    EXPECT_LE (probes, 4);
}

TEST_F (StatingInstanceTest, AHealthAnswerThatNeverStatesLimitsEndsNone)
{
    state ("X-Limit: 0\r\n", "");
    call (1);
    tickFor (Milliseconds (2500));
    EXPECT_EQ (limit(), 0);
    EXPECT_EQ (call (10), 1) << "a single request shows whether it still holds";
    EXPECT_EQ (call (10), 0);
}

/** Guards against a restarted node that knows no limit while the nodes that send to it do. */
TEST_F (StatingInstanceTest, ANodeThatHasJustStartedLearnsTheLimitFromItsSenders)
{
    state ("X-Limit: 2\r\n", "X-Limit: 2\r\n");
    call (1);
    createHop();
    senderLimit = 2;
    EXPECT_EQ (call (30), 0);
    EXPECT_TRUE (Eventually ([&] { return probes == 1; }));
}

TEST_F (StatingInstanceTest, ASendersOldLimitEndsWithTheInstancesAnswer)
{
    senderLimit = 0;
    EXPECT_EQ (call (5), 0);
    EXPECT_TRUE (Eventually ([&] { return probes == 1; }));
    EXPECT_TRUE (Eventually ([&] { return call (1) == 1; }));
    EXPECT_EQ (call (20), 20) << "what senders remember no longer counts";
}

TEST_F (StatingInstanceTest, ASuccessorHasNoLimitUntilItStatesOne)
{
    state ("X-Limit: 1\r\n");
    call (1);
    reactor->RunAndWait ([&] { list ("i-2"); });
    EXPECT_EQ (limit(), std::nullopt);
    state ("X-Limit: 7\r\n");
    call (1);
    EXPECT_EQ (limit(), 7);
}

TEST_F (StatingInstanceTest, UnusableFieldsAreCountedPassedOnAndIgnored)
{
    state ("X-Limit: 5\r\n");
    call (1);
    state ("X-Limit: nan\r\nX-Leaving: no\r\n");
    EXPECT_EQ (call (1, Milliseconds (1000)), 1);
    EXPECT_EQ (unusableFields(), 2U);
    EXPECT_EQ (limit(), 5);
    EXPECT_EQ (std::count_if (lastServed.fields.begin(), lastServed.fields.end(),
                              [] (const auto& field) { return field.value == "nan"; }),
               1);
    EXPECT_EQ (call (1, Milliseconds (1000)), 1) << "it doesn't leave";
}

TEST_F (StatingInstanceTest, AnInstanceThatStatesThatItLeavesGetsNothingMore)
{
    state ("X-Leaving: 1\r\n");
    EXPECT_EQ (call (1), 1);
    EXPECT_TRUE (lastServed.report.statedLeaving);
    EXPECT_EQ (call (5), 0);
    EXPECT_EQ (lastRefused.report.cause, mesh::HopCause::instanceLeaving);
    EXPECT_EQ (runs, 1);
}

TEST_F (StatingInstanceTest, RequestsThatWaitAreRefusedOnceItStatesThatItLeaves)
{
    state ("X-Limit: 2\r\nX-Leaving: 1\r\n");
    senderLimit = 2;
    EXPECT_EQ (call (4, Milliseconds (3000)), 1);
    EXPECT_EQ (lastRefused.report.cause, mesh::HopCause::instanceLeaving);
}

TEST_F (StatingInstanceTest, AHealthAnswerStatesItAsWell)
{
    state ("X-Limit: 0\r\n", "X-Leaving: 1\r\n");
    call (1);
    tickFor (Milliseconds (2500));
    EXPECT_EQ (call (1), 0);
    EXPECT_EQ (lastRefused.report.cause, mesh::HopCause::instanceLeaving);
}

/** Guards against an entry that is written again as ready, by a restored source or another writer.
 */
TEST_F (StatingInstanceTest, ItsEntryDoesNotTakeBackThatItLeaves)
{
    reactor->RunAndWait ([&] { list ("i-1", 1000); });
    state ("X-Leaving: 1\r\n");
    call (1);
    reactor->RunAndWait ([&] { list ("i-1", 1000); });
    EXPECT_EQ (call (1), 0);
    state ("");
    reactor->RunAndWait ([&] { list ("i-1", 2000); });
    EXPECT_EQ (call (1), 1) << "a new incarnation under the same id";
}

TEST_F (StatingInstanceTest, ASuccessorAtTheAddressDoesNotLeave)
{
    state ("X-Leaving: 1\r\n");
    call (1);
    state ("");
    reactor->RunAndWait ([&] { list ("i-2"); });
    EXPECT_EQ (call (1), 1);
}

} // namespace
} // namespace copperlead::sidecar
