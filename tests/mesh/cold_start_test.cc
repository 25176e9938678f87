#include "mesh/cold_start.h"

#include <gtest/gtest.h>

#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

constexpr ColdProfile profile{ Milliseconds (3000), 13 };

/** @returns the state for an instance that the node first saw at 0 */
ColdStart justSeen()
{
    ColdStart cold;
    cold.setProfile (profile);
    cold.presumeCold (at (0));
    return cold;
}

void answer (ColdStart& cold, int time, std::optional<Milliseconds> remaining)
{
    cold.recordQuery (at (time));
    cold.recordAnswer (at (time + 1), remaining);
}

TEST (ColdStart, InstancesOfAServiceWithoutAColdTimeAreNeverCold)
{
    ColdStart cold;
    cold.presumeCold (at (0));
    cold.recordEntry (at (0), Milliseconds (2000));
    EXPECT_FALSE (cold.isCold (at (0)));
    EXPECT_FALSE (cold.wantsAnswer (at (0)));
}

TEST (ColdStart, AnUnknownInstanceCountsAsColdAndIsAsked)
{
    auto cold = justSeen();
    EXPECT_TRUE (cold.isCold (at (2999)));
    EXPECT_FALSE (cold.isCold (at (3000)));
    EXPECT_TRUE (cold.wantsAnswer (at (0)));
    cold.recordQuery (at (0));
    EXPECT_FALSE (cold.wantsAnswer (at (200))) << "the answer may still arrive";
    EXPECT_TRUE (cold.wantsAnswer (at (250)));
}

TEST (ColdStart, TheInstancesOwnAnswerDecides)
{
    auto cold = justSeen();
    answer (cold, 10, Milliseconds (700));
    EXPECT_EQ (cold.until(), at (711));
    EXPECT_FALSE (cold.wantsAnswer (at (500)));

    auto warm = justSeen();
    answer (warm, 10, Milliseconds (0));
    EXPECT_FALSE (warm.isCold (at (12)));
}

TEST (ColdStart, AfterAnAnswerWithoutAColdTimeTheInstanceStaysColdAndIsNotAskedAgain)
{
    auto cold = justSeen();
    answer (cold, 10, std::nullopt);
    EXPECT_EQ (cold.until(), at (3000));
    EXPECT_FALSE (cold.wantsAnswer (at (1000)));
}

TEST (ColdStart, AnAnswerToAQueryFromBeforeTheResetIsIgnored)
{
    auto cold = justSeen();
    cold.recordQuery (at (10));
    cold.presumeCold (at (11));
    cold.recordAnswer (at (12), Milliseconds (0));
    EXPECT_TRUE (cold.isCold (at (13)));
    EXPECT_TRUE (cold.wantsAnswer (at (13)));
}

TEST (ColdStart, AnEntryNewerThanTheAnswerCausesAnotherQuery)
{
    auto cold = justSeen();
    answer (cold, 10, Milliseconds (0));
    cold.recordEntry (at (5), Milliseconds (2500));
    EXPECT_FALSE (cold.isCold (at (20))) << "older than the answer";
    cold.recordEntry (at (5000), Milliseconds (2500));
    EXPECT_TRUE (cold.isCold (at (5001)));
    EXPECT_TRUE (cold.wantsAnswer (at (5001)));
    answer (cold, 5002, Milliseconds (40));
    EXPECT_EQ (cold.until(), at (5043));
    EXPECT_FALSE (cold.wantsAnswer (at (5004)));
}

TEST (ColdStart, AnUnreadableEntryCountsForTheConfiguredColdTime)
{
    ColdStart cold;
    cold.setProfile (profile);
    cold.recordEntry (at (5000), unreadableColdTime);
    EXPECT_EQ (cold.until(), at (8000));
    cold.recordEntry (at (6000), Milliseconds (0));
    EXPECT_FALSE (cold.isCold (at (6000)));
}

struct BoundCase
{
    ColdProfile profile;
    ColdBounds bounds;
    int maxStarts, assumedStarts;
};

TEST (ColdStart, TwoNodesInOneSecondStayWithinTheFailureThreshold)
{
    const BoundCase cases[] = {
        { { Milliseconds (0), 13 }, { 1.5, 8 }, 0, 0 },
        { { Milliseconds (3000), 13 }, { 1.5, 8 }, 26, 25 },
        { { Milliseconds (3000), 13 }, { 1, 0 }, 12, 11 },
        { { Milliseconds (3000), 100 }, { 1.5, 8 }, 150, 142 },
        { { Milliseconds (3000), 0 }, { 1.5, 8 }, 1, 0 },
        { { Milliseconds (3000), 0.5 }, { 1, 0 }, 1, 1 },
    };

    for (const auto& wanted : cases)
    {
        EXPECT_EQ (maxColdStarts (wanted.profile, wanted.bounds), wanted.maxStarts);
        EXPECT_EQ (assumedColdStarts (wanted.profile, wanted.bounds), wanted.assumedStarts);
    }
}

TEST (ColdStart, AQuarterOfASecondGetsAQuarterOfTheStartsRoundedUp)
{
    EXPECT_EQ (maxColdStarts (profile, { 1.5, 8 }), 26);
    EXPECT_EQ (maxColdStartsPerQuarterSecond (profile, { 1.5, 8 }), 7);
    EXPECT_EQ (maxColdStartsPerQuarterSecond ({ Milliseconds (3000), 0.5 }, { 1.5, 8 }), 1);
    EXPECT_EQ (maxColdStartsPerQuarterSecond ({}, { 1.5, 8 }), 0) << "never cold";
}

} // namespace
} // namespace copperlead::mesh::test
