#include "mesh/reader_role.h"

#include <gtest/gtest.h>

#include "mesh/reader_heartbeat_codec.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr ReaderRank own{ 1, 50 }, better{ 1, 10 }, worse{ 1, 90 }, stronger{ 2, 90 },
    weaker{ 0, 1 };

ReaderHeartbeat heartbeat (ReaderRank rank, std::uint64_t number = 5, bool sound = true)
{
    return { "other", "ank-a", rank, revision (number), 3, sound };
}

/** Settings with which a node starts to read as soon as no other node does. */
ReaderRoleSettings withoutStartDelay()
{
    ReaderRoleSettings settings;
    settings.unlistedStartDelay = settings.unlistedStartSpread = settings.weakerMachineDelay = {};
    return settings;
}

/** A reader that has reached revision 5 and version 3. */
class Role : public ::testing::Test
{
protected:
    Role()
    {
        role.positionReached (at (0), revision (5), 3);
        role.decide (at (0) - Milliseconds (1));
        EXPECT_TRUE (role.decide (at (0)));
    }

    /** Receives the heartbeat every 250 ms. @returns true if the node reads at the end */
    bool receive (const ReaderHeartbeat& heartbeat, std::int64_t from, std::int64_t until)
    {
        bool reading = role.reading();

        for (auto now = from; now <= until; now += 250)
        {
            role.heartbeatReceived (at (now), heartbeat);
            reading = role.decide (at (now));
        }

        return reading;
    }

    /** @returns the time at which the node starts to read without heartbeats */
    std::int64_t readsFrom (std::int64_t now)
    {
        while (! role.decide (at (now)) && now < 60'000)
            now += 50;

        return now;
    }

    ReaderRole role{ "self", own, withoutStartDelay(), 7 };
};

/** A node that has just started. */
class StartingRole : public ::testing::Test
{
protected:
    /** @returns the time at which the node starts to read without heartbeats */
    static std::int64_t readsFrom (ReaderRole& role)
    {
        std::int64_t now = 0;

        while (! role.decide (at (now)) && now < 60'000)
            now += 10;

        return now;
    }

    ReaderRole role{ "self", { maxMachineStrength, 50 }, {}, 7 };
};

TEST_F (StartingRole, ReadsSoonWhenListedWithoutHeartbeats)
{
    role.decide (at (0));
    role.listed (at (0));
    const auto from = readsFrom (role);
    EXPECT_GE (from, 300);
    EXPECT_LE (from, 620);
}

TEST_F (StartingRole, WaitsLongerWhileNotListed)
{
    const auto from = readsFrom (role);
    EXPECT_GE (from, 1500);
    EXPECT_LE (from, 2520);
}

TEST_F (StartingRole, DoesNotReadWhenAHeartbeatArrivesInTime)
{
    role.decide (at (0));
    role.listed (at (0));
    role.heartbeatReceived (at (250), heartbeat ({ maxMachineStrength, 10 }));
    role.positionReached (at (260), revision (5), 3); // The node fetches the reader's state.

    for (int now = 500; now <= 5000; now += 250)
    {
        role.heartbeatReceived (at (now), heartbeat ({ maxMachineStrength, 10 }));
        EXPECT_FALSE (role.decide (at (now))) << now;
    }
}

TEST_F (StartingRole, StrongMachinesReadFirstWhenStartedTogether)
{
    ReaderRole weak{ "weak", { maxMachineStrength - 1, 1 }, {}, 8 };

    for (auto* starting : { &role, &weak })
    {
        starting->decide (at (0));
        starting->listed (at (0));
    }

    EXPECT_LT (readsFrom (role), readsFrom (weak));
}

TEST_F (Role, ReadsWhileNoOtherReaderIsKnown)
{
    EXPECT_TRUE (role.decide (at (0)));
    EXPECT_TRUE (role.decide (at (5000)));
}

TEST_F (Role, StopsOnlyForABetterReader)
{
    EXPECT_TRUE (receive (heartbeat (worse), 0, 1000));
    EXPECT_TRUE (receive (heartbeat (weaker), 1000, 2000));
    EXPECT_FALSE (receive (heartbeat (better), 2000, 2250));
}

TEST_F (Role, ContinuesWhileBehindABetterReader)
{
    EXPECT_TRUE (receive (heartbeat (better, 9), 0, 500));
    EXPECT_TRUE (role.behind());
    role.positionReached (at (500), revision (9), 3);
    EXPECT_FALSE (receive (heartbeat (better, 9), 500, 750));
}

TEST_F (Role, ReadsAgainAfterTheReaderTimesOut)
{
    ASSERT_FALSE (receive (heartbeat (better), 0, 1000));
    const auto from = readsFrom (1000);
    EXPECT_GE (from, 1700);
    EXPECT_LE (from, 2050);
}

TEST_F (Role, ReadsAgainAtOnceWhenTheReaderReportsAFailure)
{
    ASSERT_FALSE (receive (heartbeat (better), 0, 1000));
    role.heartbeatReceived (at (1000), heartbeat (better, 5, false));
    EXPECT_LE (readsFrom (1000), 1350);
}

TEST_F (Role, ReadsWhenItCannotCatchUpWithTheReader)
{
    ASSERT_FALSE (receive (heartbeat (better), 0, 1000));
    EXPECT_TRUE (receive (heartbeat (better, 9), 1250, 2500));
}

TEST_F (Role, ReadsWhenAnotherNodeShowsALaterVersionForTooLong)
{
    ASSERT_FALSE (receive (heartbeat (better), 0, 1000));
    role.recordVersion (at (1000), 4);
    EXPECT_FALSE (receive (heartbeat (better), 1000, 1250));
    EXPECT_TRUE (receive (heartbeat (better), 1500, 1500));
    role.positionReached (at (1600), revision (6), 4);
    EXPECT_FALSE (receive (heartbeat (better, 6), 1600, 1850));
}

TEST_F (Role, ReplacesAWeakerReaderAfterATimeout)
{
    ReaderRole strong{ "self", stronger, {}, 7 };
    strong.positionReached (at (0), revision (5), 3);
    strong.heartbeatReceived (at (0), heartbeat ({ 3, 1 }));
    ASSERT_FALSE (strong.decide (at (0)));
    bool reading = false;

    for (int now = 250; now <= 3500; now += 250)
    {
        strong.heartbeatReceived (at (now), heartbeat (weaker));
        reading = strong.decide (at (now));
        EXPECT_TRUE (now > 2000 || ! reading) << now;
    }

    EXPECT_TRUE (reading);
}

/** @param act  called at each step
    @returns the time at which a node starts to read without heartbeats
*/
template <typename Act>
std::int64_t readsFromIn (ReaderRole& role, Act act)
{
    std::int64_t now = 0;

    for (; ! role.decide (at (now)) && now < 60'000; now += 10)
        act (now);

    return now;
}

ReaderRoleSettings withPeerListing()
{
    ReaderRoleSettings settings;
    settings.canListPeers = true;
    return settings;
}

TEST (StartingFleetRole, KeepsItsStartDelayWithoutAKnownReader)
{
    ReaderRoleSettings settings;
    settings.unlistedStartDelay = Milliseconds (5000);
    ReaderRole role ("own", own, settings, 7);
    EXPECT_GE (readsFromIn (role, [] (auto) {}), 5000);
}

TEST (StartingFleetRole, ListsPeersOnceBeforeItReads)
{
    ReaderRole role ("own", own, withPeerListing(), 7);
    int listings = 0;
    const auto readsAt =
        readsFromIn (role, [&] (auto) { listings += role.takePeerListingRequest() ? 1 : 0; });
    EXPECT_EQ (listings, 1);
    EXPECT_GE (readsAt, 1500 + 500);
    EXPECT_LE (readsAt, 1500 + 1000 + 500 + 300 + 300 + 20)
        << "strength is one step below the maximum";
}

TEST (StartingFleetRole, DoesNotListPeersWhenListed)
{
    ReaderRole role ("own", own, withPeerListing(), 7);
    role.decide (at (0));
    role.listed (at (0));
    EXPECT_LE (readsFromIn (role, [] (auto) {}), 300 + 300 + 300 + 10);
    EXPECT_FALSE (role.takePeerListingRequest());
}

TEST (StartingFleetRole, WaitsForTheReaderThatItSubscribedTo)
{
    ReaderRole role ("own", own, withPeerListing(), 7);
    const auto subscribe = [&] (std::int64_t now)
    {
        if (now >= 100)
            role.subscribed (at (now));
    };
    const auto readsAt = readsFromIn (role, subscribe);
    EXPECT_GE (readsAt, 100 + 1000);
    EXPECT_LE (readsAt, 100 + 1000 + 500 + 300 + 500 + 300 + 300 + 20);
}

TEST_F (Role, WithoutAnyHeartbeatTheZoneSizeDoesNotDelayReading)
{
    role.setZonePeers (500);
    EXPECT_FALSE (receive (heartbeat (better), 0, 500));
    EXPECT_LE (readsFrom (750), 500 + 2000 + 50);
}

TEST_F (Role, FailingReadersSpreadTheTakeoverInALargeZone)
{
    role.setZonePeers (2); // The peer count is 2 at the first heartbeat.
    EXPECT_FALSE (receive (heartbeat (better), 0, 500));
    role.setZonePeers (500);
    bool reading = false;

    for (std::int64_t now = 750; now < 4000; now += 250)
    {
        role.heartbeatReceived (at (now), heartbeat (better, 5, false));
        reading = reading || role.decide (at (now));
    }

    EXPECT_FALSE (reading) << "its random delay of up to 50 s hasn't elapsed";
}

TEST_F (Role, IgnoresItsOwnHeartbeat)
{
    auto echoed = heartbeat (better);
    echoed.node = "self";
    EXPECT_TRUE (receive (echoed, 0, 1000));
}

TEST_F (Role, KnowsForHowLongAnotherNodeHasRunALaterVersion)
{
    role.positionReached (at (0), revision (5), 3);
    role.recordVersion (at (10), 3);
    EXPECT_EQ (role.laterVersionSeenFor (at (100)), Duration (0));
    role.recordVersion (at (100), 4);
    role.recordVersion (at (150), 4);
    EXPECT_EQ (role.laterVersionSeenFor (at (160)), Milliseconds (60));
    role.positionReached (at (170), revision (6), 4);
    EXPECT_EQ (role.laterVersionSeenFor (at (180)), Duration (0));
}

TEST (ReaderBeatCodec, ReadsHeartbeatsWithAndWithoutTheAgeOfTheSourcesAnswer)
{
    auto sent = heartbeat (better, 77);
    sent.confirmationAge = Milliseconds (300);
    sent.absenceGrace = Milliseconds (40);
    sent.answeringAge = Milliseconds (9000);
    const auto bytes = encode (sent);
    EXPECT_EQ (decodeReaderHeartbeat (bytes)->confirmationAge, Milliseconds (300));
    EXPECT_EQ (decodeReaderHeartbeat (bytes)->absenceGrace, Milliseconds (40));
    EXPECT_EQ (decodeReaderHeartbeat (bytes)->answeringAge, Milliseconds (9000));

    const auto withoutPeriod = decodeReaderHeartbeat (bytes.substr (0, bytes.size() - 4));
    ASSERT_TRUE (withoutPeriod);
    EXPECT_EQ (withoutPeriod->position, revision (77));
    EXPECT_EQ (withoutPeriod->confirmationAge, Milliseconds (300));
    EXPECT_EQ (withoutPeriod->absenceGrace, Milliseconds (40));
    EXPECT_EQ (withoutPeriod->answeringAge, Milliseconds (0));

    const auto withoutAge = decodeReaderHeartbeat (bytes.substr (0, bytes.size() - 12));
    ASSERT_TRUE (withoutAge);
    EXPECT_EQ (withoutAge->position, revision (77));
    EXPECT_EQ (withoutAge->confirmationAge, Milliseconds (0));

    EXPECT_FALSE (decodeReaderHeartbeat (bytes.substr (0, bytes.size() - 8)));
}

TEST_F (Role, KnowsWhenTheSourceLastAnsweredTheReaderThatItIsUpToDateWith)
{
    auto sent = heartbeat (better, 5);
    sent.confirmationAge = Milliseconds (300);
    sent.absenceGrace = Milliseconds (40);
    role.heartbeatReceived (at (1000), sent);
    EXPECT_EQ (role.confirmation().confirmedAt, at (700));
    EXPECT_EQ (role.confirmation().absenceDistrustedUntil, at (1040));
    role.heartbeatReceived (at (1200), heartbeat (better, 6));
    EXPECT_EQ (role.confirmation().confirmedAt, at (700)) << "behind that reader";
}

TEST (ReaderBeatCodec, RoundTripsAndRejectsStrayDatagrams)
{
    const auto bytes = encode (heartbeat (better, 77));
    const auto read = decodeReaderHeartbeat (bytes);
    ASSERT_TRUE (read);
    EXPECT_EQ (read->position, revision (77));
    EXPECT_EQ (read->zone, "ank-a");
    EXPECT_EQ (read->rank.hash, better.hash);
    EXPECT_TRUE (read->healthy);
    EXPECT_TRUE (read->reads);
    EXPECT_EQ (read->confirmationAge, Milliseconds (0));

    for (const auto& stray : { std::string(), std::string ("hello, who is there?"),
                               bytes.substr (0, bytes.size() - 1), "x" + bytes })
        EXPECT_FALSE (decodeReaderHeartbeat (stray));
}

} // namespace
} // namespace copperlead::mesh::test
