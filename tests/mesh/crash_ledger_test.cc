#include "mesh/crash_ledger.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

#include "mesh/crash_message.h"

namespace copperlead::mesh
{
namespace
{

const RequestDigest culprit{ 1, 7 }, otherBody{ 1, 8 }, otherHead{ 3, 0 };

Timestamp at (int milliseconds) { return Timestamp (Milliseconds (milliseconds)); }

SuspectRecord recordOfRun (const RequestDigest& request, std::uint64_t crash)
{
    return { request, { { crash, false } }, {} };
}

TEST (CrashLedger, HoldsWhatRanInTwoCrashes)
{
    CrashLedger ledger{ CrashLimits() };
    EXPECT_EQ (ledger.merge (at (0), recordOfRun (culprit, 11)), SuspectChange::none);
    EXPECT_FALSE (ledger.holdOf (at (1), culprit));
    EXPECT_EQ (ledger.merge (at (10), recordOfRun (culprit, 12)), SuspectChange::held);
    const auto hold = ledger.holdOf (at (110), culprit);
    ASSERT_TRUE (hold);
    EXPECT_EQ (hold->crashes, 2);
    EXPECT_EQ (hold->age, Milliseconds (100));
    EXPECT_EQ (hold->remaining, CrashLimits().firstHold - Milliseconds (100));
}

TEST (CrashLedger, CountsACrashOnceHoweverOftenItIsReported)
{
    CrashLedger ledger{ CrashLimits() };

    for (int report = 0; report < 5; ++report)
        EXPECT_EQ (ledger.merge (at (report), recordOfRun (culprit, 11)), SuspectChange::none);
}

TEST (CrashLedger, TreatsAnotherBodyAsAnotherRequest)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), recordOfRun (culprit, 11));
    ledger.merge (at (0), recordOfRun (culprit, 12));
    EXPECT_TRUE (ledger.hasSuspectWithHead (otherBody.head));
    EXPECT_FALSE (ledger.holdOf (at (1), otherBody));
    EXPECT_FALSE (ledger.hasSuspectWithHead (otherHead.head));
}

TEST (CrashLedger, ClearsAllEarlierCrashesByAnAnswer)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), recordOfRun (culprit, 11));
    EXPECT_TRUE (ledger.clear (at (5), culprit));
    EXPECT_EQ (ledger.merge (at (10), recordOfRun (culprit, 12)), SuspectChange::none);
    EXPECT_EQ (ledger.merge (at (20), recordOfRun (culprit, 13)), SuspectChange::held);
}

TEST (CrashLedger, KeepsACrashClearedWhenOlderRecordsArriveLate)
{
    CrashLedger one{ CrashLimits() }, two{ CrashLimits() };

    for (auto* ledger : { &one, &two })
        for (const std::uint64_t crash : { 11, 12 })
            ledger->merge (at (0), recordOfRun (culprit, crash));

    const auto cleared = one.clear (at (5), culprit);
    ASSERT_TRUE (cleared);
    EXPECT_FALSE (one.clear (at (6), culprit)) << "there is nothing new to report";
    EXPECT_EQ (one.merge (at (7), two.recordsToShare (at (7), 4).front()), SuspectChange::none);
    EXPECT_EQ (two.merge (at (8), *cleared), SuspectChange::cleared);
    EXPECT_FALSE (two.holdOf (at (9), culprit));
}

TEST (CrashLedger, ReleasesARequestAfterItsHoldAndHoldsItAgainAfterOneCrash)
{
    CrashLedger ledger ({ 2, Milliseconds (1000) });
    ledger.merge (at (0), recordOfRun (culprit, 11));
    ledger.merge (at (0), recordOfRun (culprit, 12));
    EXPECT_TRUE (ledger.holdOf (at (999), culprit));
    EXPECT_FALSE (ledger.holdOf (at (1000), culprit));
    EXPECT_EQ (ledger.merge (at (1500), recordOfRun (culprit, 13)), SuspectChange::held);
    EXPECT_TRUE (ledger.holdOf (at (9499), culprit)) << "longer than before";
    EXPECT_FALSE (ledger.holdOf (at (9500), culprit));
}

TEST (CrashLedger, TriesARequestThatAlwaysCrashesFourTimesInTenHours)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), recordOfRun (culprit, 1));
    std::uint64_t crashes = 1;

    for (int second = 0; second < 10 * 3600; ++second)
    {
        const auto now = at (1000 * second);
        ledger.advance (now);

        if (! ledger.holdOf (now, culprit))
            ledger.merge (now, recordOfRun (culprit, ++crashes));
    }

    EXPECT_EQ (crashes, 2U + 4U);
}

TEST (CrashLedger, RemovesOldSuspects)
{
    CrashLedger ledger ({ 2, Milliseconds (1000) });
    ledger.merge (at (0), recordOfRun (culprit, 11));
    ledger.advance (at (2000));
    EXPECT_FALSE (ledger.empty());
    ledger.advance (at (2001));
    EXPECT_TRUE (ledger.empty());
}

TEST (CrashLedger, IsDisabledByALimitOfZero)
{
    CrashLedger ledger ({ 0, Milliseconds (1000) });

    for (const std::uint64_t crash : { 11, 12, 13 })
        EXPECT_EQ (ledger.merge (at (0), recordOfRun (culprit, crash)), SuspectChange::none);

    EXPECT_FALSE (ledger.holdOf (at (1), culprit));
    EXPECT_TRUE (ledger.recordsToShare (at (1), 4).empty());
}

TEST (CrashLedger, SharesOnlySuspectsOfSeveralCrashes)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), recordOfRun (culprit, 11));
    ledger.merge (at (0), recordOfRun (otherHead, 11));
    ledger.merge (at (50), recordOfRun (culprit, 12));
    const auto shared = ledger.recordsToShare (at (60), 4);
    ASSERT_EQ (shared.size(), 1U);
    EXPECT_EQ (shared.front().request, culprit);
    EXPECT_EQ (shared.front().age, Milliseconds (10));
    CrashLedger later{ CrashLimits() };
    EXPECT_EQ (later.merge (at (70), shared.front()), SuspectChange::held);
}

TEST (CrashLedger, EvictsSuspectsWithFewerCrashesWhenFull)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), recordOfRun (culprit, 11));
    ledger.merge (at (0), recordOfRun (culprit, 12));

    for (std::uint64_t number = 0; number < 2 * CrashLedger::maxSuspects; ++number)
        ledger.merge (at (1), recordOfRun ({ 100 + number, 0 }, 20 + number));

    EXPECT_EQ (ledger.size(), CrashLedger::maxSuspects);
    EXPECT_TRUE (ledger.holdOf (at (2), culprit));
}

/** Simulates seven instances with six slots each, all of them occupied by different requests. A
    request whose instance crashes is sent to another instance up to twice: once by the node and
    once by its client.
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
                slot = newSlot();
    }

    /** Answers a share of the running requests and replaces them by new ones. */
    void advance (double answeredShare)
    {
        for (auto& running : slotsOf)
            for (auto& slot : running)
                if (chance (answeredShare))
                {
                    ledger.clear (at (0), slot.request);
                    slot = newSlot();
                }
    }

    /** Crashes an instance.
        @param with  a further request that runs there, if any
    */
    void crash (int instance, const RequestDigest* with = nullptr)
    {
        CrashReport report{ ++crashes, {} };

        for (auto& slot : slotsOf.at (static_cast<std::size_t> (instance)))
        {
            report.requests.push_back (slot.request);
            resend (slot, instance);
            slot = newSlot();
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
    Slot newSlot() { return { { 100 + ++createdRequests, 0 }, 2 }; }

    void resend (const Slot& slot, int except)
    {
        if (slot.sendsLeft == 0)
            return;

        const int target = (except + 1 + draw (instances - 1)) % instances;
        auto& place = slotsOf.at (static_cast<std::size_t> (target))
                          .at (static_cast<std::size_t> (draw (slots)));
        place = { slot.request, slot.sendsLeft - 1 };
    }

    std::mt19937 random;
    std::array<std::array<Slot, slots>, instances> slotsOf;
    std::uint64_t crashes = 0, createdRequests = 0;
};

TEST (CrashLedger, HoldsNoRequestWhenInstancesCrashForOtherReasons)
{
    BusyService service (5);

    for (int crash = 0; crash < 100; ++crash)
    {
        service.crash (service.draw (BusyService::instances));

        // A second passes, in which every slot changes requests many times.
        for (int step = 0; step < 20; ++step)
            service.advance (0.6);
    }

    EXPECT_EQ (service.held, 0);
}

TEST (CrashLedger, HoldsNoMoreInnocentRequestsThanCrashingOnes)
{
    constexpr int culprits = 200;
    BusyService service (5);

    for (std::uint64_t number = 0; number < culprits; ++number)
    {
        const RequestDigest crashing{ 1, number };
        const int first = service.draw (BusyService::instances);
        service.crash (first, &crashing);
        service.advance (0.3); // A retry arrives in less than the duration of a run.
        service.crash ((first + 1 + service.draw (6)) % BusyService::instances, &crashing);
        EXPECT_TRUE (service.ledger.holdOf (at (0), crashing));

        for (int step = 0; step < 20; ++step)
            service.advance (0.6);
    }

    const int innocent = service.held - culprits;
    RecordProperty ("innocent", innocent);
    EXPECT_LE (innocent, culprits);
}

TEST (SuspectNews, RoundTrips)
{
    SuspectUpdate update;
    update.records = { { culprit, { { 11, false }, { 12, true } }, Milliseconds (1234) },
                       recordOfRun (otherHead, 11) };
    const auto read = decodeSuspectUpdate (encode (update));
    ASSERT_TRUE (read);
    ASSERT_EQ (read->records.size(), 2U);
    EXPECT_EQ (read->records[0].request, culprit);
    EXPECT_EQ (read->records[0].age, Milliseconds (1234));
    ASSERT_EQ (read->records[0].crashes.size(), 2U);
    EXPECT_EQ (read->records[0].crashes[1].crash, 12U);
    EXPECT_TRUE (read->records[0].crashes[1].cleared);
    EXPECT_EQ (read->records[1].request, otherHead);
}

TEST (SuspectNews, FitsIntoADatagramWhenFull)
{
    SuspectUpdate update;

    for (std::size_t i = 0; i < SuspectUpdate::maxRecords; ++i)
        update.records.push_back ({ culprit,
                                    std::vector<KnownCrash> (CrashLedger::maxCrashesPerSuspect),
                                    Milliseconds (1) });

    EXPECT_LE (encode (update).size(), 1472U);
}

TEST (SuspectNews, RejectsTruncatedAndDamagedMessages)
{
    SuspectUpdate update;
    update.records = { recordOfRun (culprit, 11),
                       { otherHead, { { 11, false }, { 12, true } }, {} } };
    const auto complete = encode (update);

    for (std::size_t size = 0; size < complete.size(); ++size)
        EXPECT_FALSE (decodeSuspectUpdate (complete.substr (0, size))) << size;

    std::minstd_rand random (3);

    for (int round = 0; round < 20'000; ++round)
    {
        auto bytes = complete;
        bytes[random() % bytes.size()] = static_cast<char> (random());
        const auto read = decodeSuspectUpdate (bytes);

        if (! read)
            continue;

        EXPECT_LE (read->records.size(), SuspectUpdate::maxRecords);

        for (const auto& record : read->records)
            EXPECT_TRUE (! record.crashes.empty() &&
                         record.crashes.size() <= CrashLedger::maxCrashesPerSuspect);
    }
}

} // namespace
} // namespace copperlead::mesh
