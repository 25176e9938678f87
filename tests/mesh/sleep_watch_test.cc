// Tests of a node's state after its machine was suspended for five seconds.
#include "mesh/sleep_watch.h"

#include <gtest/gtest.h>

#include "mesh/crash_ledger.h"
#include "mesh/credential_check.h"
#include "mesh/quota_lease.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr Milliseconds interval{ 250 };
constexpr std::int64_t pauseMs = 5000;

TEST (SleepWatch, ReportsThePauseAndTheSuspendedPart)
{
    SleepWatch detector;
    EXPECT_FALSE (detector.check (at (0), Milliseconds (70'000), interval));
    EXPECT_FALSE (detector.check (at (250), Milliseconds (70'000), interval));
    const auto pause = detector.check (at (500 + pauseMs), Milliseconds (74'000), interval);
    ASSERT_TRUE (pause);
    EXPECT_EQ (pause->pauseDuration, Milliseconds (pauseMs));
    EXPECT_EQ (pause->suspended, Milliseconds (4000));
    EXPECT_FALSE (detector.check (at (750 + pauseMs), Milliseconds (74'000), interval));
}

TEST (SleepWatch, IgnoresShortDelaysOnABusyMachine)
{
    SleepWatch detector;
    detector.check (at (0), {}, interval);
    EXPECT_FALSE (detector.check (at (1249), {}, interval));
}

TEST (AfterASleep, AGrantHasExpired)
{
    QuotaLease lease;
    lease.addGrant (at (0), 10, 5);
    EXPECT_EQ (lease.take (at (10)), QuotaDecision::pass);
    EXPECT_EQ (lease.take (at (10 + pauseMs)), QuotaDecision::wait);
}

TEST (AfterASleep, AnInstanceThatLapsedBeforeIsNoLongerUsable)
{
    InstanceDirectory directory;
    directory.put (at (0), makeInstance ("a", "z1", 1), revision (5));
    directory.remove (at (10), "a", revision (6), InstanceDirectory::lapsedGracePeriod);
    directory.advance (at (10 + pauseMs));
    EXPECT_TRUE (directory.snapshot()->byService.empty());
}

TEST (AfterASleep, AHeldRequestIsStillHeld)
{
    CrashLedger ledger{ CrashLimits() };
    ledger.merge (at (0), { { 1, 1 }, { { 11, false }, { 12, false } }, {} });
    EXPECT_TRUE (ledger.holdOf (at (pauseMs), { 1, 1 }));
}

TEST (AfterASleep, TheClockIncludesSuspendedTime)
{
    const auto before = ReadClock (CLOCK_BOOTTIME);
    const auto read = SteadyClock().Now().time_since_epoch();
    const auto after = ReadClock (CLOCK_BOOTTIME);
    EXPECT_LE (before, read);
    EXPECT_LE (read, after);
    EXPECT_GE (SuspendedTime(), Milliseconds (-1));
}

} // namespace
} // namespace copperlead::mesh::test
