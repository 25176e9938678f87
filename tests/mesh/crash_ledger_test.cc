#include "mesh/crash_ledger.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

#include "mesh/crash_message.h"

namespace copperlead::mesh
{
namespace
{

const RequestDigest culprit{ 1, 7 }, other{ 1, 8 }, third{ 3, 0 };

Timestamp at (int milliseconds) { return Timestamp (Milliseconds (milliseconds)); }

SuspectRecord ranIn (const RequestDigest& request, std::uint64_t crash)
{
    return { request, { { crash, false } }, {} };
}

TEST (CrashLedger, HoldsWhatRanInTwoCrashes)
{
    CrashLedger ledger{ CrashLimits() };
    EXPECT_EQ (ledger.merge (at (0), ranIn (culprit, 11)), SuspectChange::none);
    EXPECT_FALSE (ledger.holdOf (at (1), culprit));
    EXPECT_EQ (ledger.merge (at (10), ranIn (culprit, 12)), SuspectChange::held);
    const auto hold = ledger.holdOf (at (110), culprit);
    ASSERT_TRUE (hold);
    EXPECT_EQ (hold->crashes, 2);
    EXPECT_EQ (hold->age, Milliseconds (100));
    EXPECT_EQ (hold->left, CrashLimits().hold - Milliseconds (100));
}

TEST (CrashLedger, OneCrashCountsOnceHoweverOftenItIsTold)
{
    CrashLedger ledger{ CrashLimits() };

    for (int told = 0; told < 5; ++told)
        EXPECT_EQ (ledger.merge (at (told), ranIn (culprit, 11)), SuspectChange::none);
}

TEST (CrashLedger, OtherBodiesAreOtherRequests)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), ranIn (culprit, 11));
    ledger.merge (at (0), ranIn (culprit, 12));
    EXPECT_TRUE (ledger.knowsHead (other.head));
    EXPECT_FALSE (ledger.holdOf (at (1), other));
    EXPECT_FALSE (ledger.knowsHead (third.head));
}

TEST (CrashLedger, AnAnswerClearsAllCrashesBeforeIt)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), ranIn (culprit, 11));
    EXPECT_TRUE (ledger.clear (at (5), culprit));
    EXPECT_EQ (ledger.merge (at (10), ranIn (culprit, 12)), SuspectChange::none);
    EXPECT_EQ (ledger.merge (at (20), ranIn (culprit, 13)), SuspectChange::held);
}

TEST (CrashLedger, WhatWasClearedStaysClearedWhateverComesLate)
{
    CrashLedger one{ CrashLimits() }, two{ CrashLimits() };

    for (auto* ledger : { &one, &two })
        for (const std::uint64_t crash : { 11, 12 })
            ledger->merge (at (0), ranIn (culprit, crash));

    const auto cleared = one.clear (at (5), culprit);
    ASSERT_TRUE (cleared);
    EXPECT_FALSE (one.clear (at (6), culprit)) << "nothing new to tell";
    EXPECT_EQ (one.merge (at (7), two.worthTelling (at (7), 4).front()), SuspectChange::none);
    EXPECT_EQ (two.merge (at (8), *cleared), SuspectChange::cleared);
    EXPECT_FALSE (two.holdOf (at (9), culprit));
}

TEST (CrashLedger, LetsItGoAfterItsHoldAndHoldsItAgainByOneCrash)
{
    CrashLedger ledger ({ 2, Milliseconds (1000) });
    ledger.merge (at (0), ranIn (culprit, 11));
    ledger.merge (at (0), ranIn (culprit, 12));
    EXPECT_TRUE (ledger.holdOf (at (999), culprit));
    EXPECT_FALSE (ledger.holdOf (at (1000), culprit));
    EXPECT_EQ (ledger.merge (at (1500), ranIn (culprit, 13)), SuspectChange::held);
    EXPECT_TRUE (ledger.holdOf (at (9499), culprit)) << "longer than before";
    EXPECT_FALSE (ledger.holdOf (at (9500), culprit));
}

TEST (CrashLedger, TriesOneThatAlwaysCrashesFourTimesInTenHours)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), ranIn (culprit, 1));
    std::uint64_t crashes = 1;

    for (int second = 0; second < 10 * 3600; ++second)
    {
        const auto now = at (1000 * second);
        ledger.advance (now);

        if (! ledger.holdOf (now, culprit))
            ledger.merge (now, ranIn (culprit, ++crashes));
    }

    EXPECT_EQ (crashes, 2U + 4U);
}

TEST (CrashLedger, ForgetsWhatIsOld)
{
    CrashLedger ledger ({ 2, Milliseconds (1000) });
    ledger.merge (at (0), ranIn (culprit, 11));
    ledger.advance (at (2000));
    EXPECT_FALSE (ledger.empty());
    ledger.advance (at (2001));
    EXPECT_TRUE (ledger.empty());
}

TEST (CrashLedger, IsSwitchedOffByALimitOfNone)
{
    CrashLedger ledger ({ 0, Milliseconds (1000) });

    for (const std::uint64_t crash : { 11, 12, 13 })
        EXPECT_EQ (ledger.merge (at (0), ranIn (culprit, crash)), SuspectChange::none);

    EXPECT_FALSE (ledger.holdOf (at (1), culprit));
    EXPECT_TRUE (ledger.worthTelling (at (1), 4).empty());
}

TEST (CrashLedger, TellsAllOfWhatStandsInSeveralCrashes)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), ranIn (culprit, 11));
    ledger.merge (at (0), ranIn (third, 11));
    ledger.merge (at (50), ranIn (culprit, 12));
    const auto told = ledger.worthTelling (at (60), 4);
    ASSERT_EQ (told.size(), 1U);
    EXPECT_EQ (told.front().request, culprit);
    EXPECT_EQ (told.front().age, Milliseconds (10));
    CrashLedger later{ CrashLimits() };
    EXPECT_EQ (later.merge (at (70), told.front()), SuspectChange::held);
}

TEST (CrashLedger, KeepsWhatStandsInMoreCrashesWhenThereIsNoRoom)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), ranIn (culprit, 11));
    ledger.merge (at (0), ranIn (culprit, 12));

    for (std::uint64_t number = 0; number < 2 * CrashLedger::mostSuspects; ++number)
        ledger.merge (at (1), ranIn ({ 100 + number, 0 }, 20 + number));

    EXPECT_EQ (ledger.size(), CrashLedger::mostSuspects);
    EXPECT_TRUE (ledger.holdOf (at (2), culprit));
}

/** Seven instances with six slots each in virtual time, all busy with requests that come once, each
    of them sent to another instance once if its own crashes, and by its client a second time.
*/
class BusyService
{
public:
    static constexpr int instances = 7, slots = 6;

    explicit BusyService (unsigned seed)
        : random (seed)
    {
        for (auto& running : slotsOf)
            for (auto& slot : running)
                slot = fresh();
    }

    /** Some of what runs is answered, and the slots are taken by others. */
    void advance (double answeredShare)
    {
        for (auto& running : slotsOf)
            for (auto& slot : running)
                if (chance (answeredShare))
                {
                    ledger.clear (at (0), slot.request);
                    slot = fresh();
                }
    }

    /** @param with  runs there as well */
    void crash (int instance, const RequestDigest* with = nullptr)
    {
        CrashReport report{ ++crashes, {} };

        for (auto& slot : slotsOf.at (static_cast<std::size_t> (instance)))
        {
            report.requests.push_back (slot.request);
            again (slot, instance);
            slot = fresh();
        }

        if (with != nullptr)
            report.requests.push_back (*with);

        for (const auto& record : recordsOf (report))
            if (ledger.merge (at (0), record) == SuspectChange::held)
                ++held;
    }

    int draw (int bound) { return static_cast<int> (random() % static_cast<unsigned> (bound)); }

    CrashLedger ledger{ CrashLimits() };
    int held = 0;

private:
    struct Slot
    {
        RequestDigest request;
        int sendsLeft = 2;
    };

    bool chance (double share) { return std::uniform_real_distribution<> (0, 1) (random) < share; }
    Slot fresh() { return { { 100 + ++made, 0 }, 2 }; }

    void again (const Slot& slot, int except)
    {
        if (slot.sendsLeft == 0)
            return;

        const int other = (except + 1 + draw (instances - 1)) % instances;
        auto& place = slotsOf.at (static_cast<std::size_t> (other))
                          .at (static_cast<std::size_t> (draw (slots)));
        place = { slot.request, slot.sendsLeft - 1 };
    }

    std::mt19937 random;
    std::array<std::array<Slot, slots>, instances> slotsOf;
    std::uint64_t crashes = 0, made = 0;
};

TEST (CrashLedger, HoldsNoneWhereInstancesEndNowAndThenForOtherReasons)
{
    BusyService service (5);

    for (int loss = 0; loss < 100; ++loss)
    {
        service.crash (service.draw (BusyService::instances));

        // A second passes, in which whatever ran at an instance ends many times.
        for (int step = 0; step < 20; ++step)
            service.advance (0.6);
    }

    EXPECT_EQ (service.held, 0);
}

TEST (CrashLedger, HoldsAboutOneInnocentRequestForEachThatCrashesInstances)
{
    constexpr int culprits = 200;
    BusyService service (5);

    for (std::uint64_t number = 0; number < culprits; ++number)
    {
        const RequestDigest crashing{ 1, number };
        const int first = service.draw (BusyService::instances);
        service.crash (first, &crashing);
        service.advance (0.3); // A retry is there in less than the time of a run.
        service.crash ((first + 1 + service.draw (6)) % BusyService::instances, &crashing);
        EXPECT_TRUE (service.ledger.holdOf (at (0), crashing));

        for (int step = 0; step < 20; ++step)
            service.advance (0.6);
    }

    const int innocent = service.held - culprits;
    RecordProperty ("innocent", innocent);
    EXPECT_LE (innocent, culprits);
}

TEST (SuspectNews, ComesBackWhole)
{
    SuspectNews news;
    news.records = { { culprit, { { 11, false }, { 12, true } }, Milliseconds (1234) },
                     ranIn (third, 11) };
    const auto read = decodeSuspectNews (encode (news));
    ASSERT_TRUE (read);
    ASSERT_EQ (read->records.size(), 2U);
    EXPECT_EQ (read->records[0].request, culprit);
    EXPECT_EQ (read->records[0].age, Milliseconds (1234));
    ASSERT_EQ (read->records[0].crashes.size(), 2U);
    EXPECT_EQ (read->records[0].crashes[1].crash, 12U);
    EXPECT_TRUE (read->records[0].crashes[1].cleared);
    EXPECT_EQ (read->records[1].request, third);
}

TEST (SuspectNews, FitsIntoADatagramWhenFull)
{
    SuspectNews news;

    for (std::size_t i = 0; i < SuspectNews::mostRecords; ++i)
        news.records.push_back (
            { culprit, std::vector<KnownCrash> (CrashLedger::mostCrashes), Milliseconds (1) });

    EXPECT_LE (encode (news).size(), 1472U);
}

TEST (SuspectNews, AnythingElseIsNone)
{
    SuspectNews news;
    news.records = { ranIn (culprit, 11), { third, { { 11, false }, { 12, true } }, {} } };
    const auto whole = encode (news);

    for (std::size_t size = 0; size < whole.size(); ++size)
        EXPECT_FALSE (decodeSuspectNews (whole.substr (0, size))) << size;

    std::minstd_rand random (3);

    for (int changed = 0; changed < 20'000; ++changed)
    {
        auto bytes = whole;
        bytes[random() % bytes.size()] = static_cast<char> (random());
        const auto read = decodeSuspectNews (bytes);

        if (! read)
            continue;

        EXPECT_LE (read->records.size(), SuspectNews::mostRecords);

        for (const auto& record : read->records)
            EXPECT_TRUE (! record.crashes.empty() &&
                         record.crashes.size() <= CrashLedger::mostCrashes);
    }
}

} // namespace
} // namespace copperlead::mesh
