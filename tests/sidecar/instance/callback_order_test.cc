/** Callbacks that cancel other calls, as a connection does that ends with several requests. */
#include <gtest/gtest.h>

#include <random>

#include "sidecar/instance/body_admission.h"
#include "tests/proxy/raw_socket.h"
#include "tests/sidecar/instance/last_hop_fixtures.h"

namespace copperlead::sidecar
{
namespace
{

constexpr double linkMbps = 1;

/** A last hop beside an instance that never answers and whose only slot is taken. */
class CallbackOrder : public ::testing::Test
{
protected:
    CallbackOrder()
    {
        reactor->RunAndWait (
            [&]
            {
                hop = makeLastHop (reactor, settingsBeside (instance.address()));
                auto listed = deskAt (instance.address(), "i-1", 0);
                listed.slots = 1;
                mesh::InstanceDirectory directory;
                directory.put (SteadyClock().Now(), listed, { 0, 1 });
                hop->setDirectory (SteadyClock().Now(), *directory.snapshot());
                auto running = callToDesk (std::chrono::seconds (60));
                running.facts.mayRepeat = true;
                hop->start (std::move (running), [] (const HopAnswer&) {});
            });
    }

    ~CallbackOrder() override { reactor->Stop(); }

    /** Starts a call that is to wait. @param then  what its callback does besides */
    void start (Milliseconds wait, const std::function<void()>& then)
    {
        auto call = callToDesk (wait);
        call.facts.targetLeft = wait;
        ids.push_back (hop->start (std::move (call),
                                   [this, then, index = ids.size()] (const HopAnswer&)
                                   {
                                       answered.push_back (index);
                                       then();
                                   }));
    }

    void cancelAll()
    {
        for (const auto id : ids)
            hop->cancel (id);
    }

    RawServer instance{ [] (RawSocket& socket, int) { socket.AwaitClosed(); } };
    std::shared_ptr<Reactor> reactor = Resolve ([] { return Reactor::Start(); }).value();
    std::shared_ptr<LastHop> hop;
    std::vector<LastHop::CallId> ids;
    std::vector<std::size_t> answered;
};

// Guards against a process that ends since the answer to the first expired request closes the
// connection of the next ones.
TEST_F (CallbackOrder, AnAnswerThatCancelsTheNextExpiredRequestsIsTheOnlyOne)
{
    reactor->RunAndWait (
        [&]
        {
            for (int i = 0; i < 4; ++i)
                start (Milliseconds (30), [this] { cancelAll(); });
        });
    EXPECT_TRUE (Eventually (
        [&]
        {
            std::size_t count = 0, left = 0;
            reactor->RunAndWait (
                [&]
                {
                    count = answered.size();
                    left = hop->inFlight();
                });
            return count > 0 && left == 1;
        }));
    EXPECT_EQ (answered.size(), 1U);
}

TEST_F (CallbackOrder, AnAnswerThatCancelsTheOthersIsTheOnlyOneAtAStop)
{
    reactor->RunAndWait (
        [&]
        {
            for (int i = 0; i < 4; ++i)
                start (Milliseconds (5000), [this] { cancelAll(); });

            hop->stopAccepting();
            EXPECT_TRUE (answered.empty()) << "callbacks run after the call that caused them";
        });
    EXPECT_EQ (answered.size(), 1U);
    EXPECT_EQ (hop->inFlight(), 1U) << "the one that runs";
}

TEST_F (CallbackOrder, NoAnswerComesBeforeTheCallHasStarted)
{
    reactor->RunAndWait (
        [&]
        {
            hop->stopAccepting();
            start (Milliseconds (100), [] {});
            EXPECT_TRUE (answered.empty());
            hop->cancel (ids[0]);
        });
    EXPECT_TRUE (answered.empty()) << "nor after it was cancelled";
}

// Plays random orders of starts, cancels and stops in which callbacks cancel and start others.
TEST_F (CallbackOrder, EachCallIsAnsweredOnceOrCancelledInAnyOrder)
{
    for (unsigned seed = 1; seed <= 40; ++seed)
    {
        std::mt19937 random (seed);
        std::vector<int> answers (40, 0);
        std::vector<bool> cancelled (40, false);
        std::vector<LastHop::CallId> started;
        std::function<void()> act;
        const auto startOne = [&]
        {
            if (started.size() == answers.size())
                return;

            const auto index = started.size();
            auto call = callToDesk (Milliseconds (random() % 3));
            call.facts.targetLeft = call.facts.timeLeft;
            started.push_back (hop->start (std::move (call),
                                           [&, index] (const HopAnswer&)
                                           {
                                               ++answers[index];
                                               EXPECT_FALSE (cancelled[index]) << "seed " << seed;
                                               act();
                                           }));
        };
        act = [&]
        {
            startOne();

            for (auto times = random() % 4; times > 0; --times)
            {
                const auto index = random() % started.size();
                cancelled[index] = cancelled[index] || answers[index] == 0;
                hop->cancel (started[index]);
            }
        };

        reactor->RunAndWait (
            [&]
            {
                for (int i = 0; i < 6; ++i)
                    startOne();

                act();
            });
        ASSERT_TRUE (Eventually (
            [&]
            {
                std::size_t left = 0;
                reactor->RunAndWait ([&] { left = hop->inFlight(); });
                return left == 1;
            }))
            << "seed " << seed;

        for (std::size_t index = 0; index < started.size(); ++index)
            ASSERT_EQ (answers[index], cancelled[index] ? 0 : 1) << "seed " << seed;
    }
}

// Guards against decisions on bodies that reach a request which the decision before has ended.
TEST_F (CallbackOrder, ADecisionThatCancelsTheNextBodiesIsTheOnlyOne)
{
    int decisions = 0;
    std::vector<BodyAdmission::Id> bodies;
    std::shared_ptr<BodyAdmission> admission;
    reactor->RunAndWait (
        [&]
        {
            admission = std::make_shared<BodyAdmission> (reactor, linkMbps);
            mesh::HopRequest facts;
            facts.timeLeft = Milliseconds (1);

            for (int i = 0; i < 4; ++i)
                bodies.push_back (admission->requestAdmission (facts, 1 << 20,
                                                               [&] (bool)
                                                               {
                                                                   ++decisions;

                                                                   for (const auto id : bodies)
                                                                       admission->cancel (id);
                                                               }));

            EXPECT_EQ (decisions, 0);
        });
    EXPECT_EQ (decisions, 1);
}

} // namespace
} // namespace copperlead::sidecar
