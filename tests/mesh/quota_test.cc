/** Unit tests of the classes that enforce quotas. */
#include <gtest/gtest.h>

#include "mesh/answer_time.h"
#include "mesh/flow_shares.h"
#include "mesh/keeper_choice.h"
#include "mesh/milliseconds.h"
#include "mesh/quota_keeper.h"
#include "mesh/quota_lease.h"
#include "tests/mesh/fixtures.h"

namespace copperlead::mesh::test
{
namespace
{

/** @returns `count` nodes, spread evenly over four zones. */
std::vector<QuotaNode> makeNodes (int count)
{
    std::vector<QuotaNode> nodes;

    for (int n = 0; n < count; ++n)
        nodes.push_back ({ "10.0.0." + std::to_string (n), "z" + std::to_string (n % 4) });

    return nodes;
}

TEST (QuotaView, AllNodesAgreeOnOneCandidatePerZone)
{
    const auto nodes = makeNodes (12);
    const auto candidates = QuotaView (nodes, nodes[0]).candidates ("a");
    ASSERT_EQ (candidates.size(), 4U);
    std::map<std::string, int> zones;

    for (const auto& node : candidates)
        ++zones[node.zone];

    EXPECT_EQ (zones.size(), 4U);

    for (const auto& node : nodes)
    {
        const QuotaView view (nodes, node);
        EXPECT_EQ (view.candidates ("a"), candidates);
        EXPECT_EQ (view.candidatesAboveOwn ("a").empty(), node == candidates[0]);
    }
}

TEST (QuotaView, SpreadsTenantsEvenlyAndMovesFewWhenANodeLeaves)
{
    auto nodes = makeNodes (40);
    std::map<std::string, QuotaNode> before;
    std::map<std::string, int> tenantCounts;

    for (int tenant = 0; tenant < 400; ++tenant)
    {
        const auto name = "t" + std::to_string (tenant);
        before[name] = QuotaView (nodes, nodes[0]).candidates (name)[0];
        ++tenantCounts[before[name].ip];
    }

    for (const auto& [ip, count] : tenantCounts)
        EXPECT_LT (count, 30) << ip;

    const auto removed = nodes.back();
    nodes.pop_back();

    for (const auto& [name, node] : before)
    {
        if (node == removed)
            continue;

        EXPECT_EQ (QuotaView (nodes, nodes[0]).candidates (name)[0], node);
    }
}

/** The first two candidates for tenant "a" among twelve nodes. */
class Keeping : public ::testing::Test
{
protected:
    Keeping()
    {
        tenant.name = "a";
        tenant.quota = { 100, 20 };
        order = QuotaView (nodes, nodes[0]).candidates ("a");
        first.setView (QuotaView (nodes, order[0]));
        second.setView (QuotaView (nodes, order[1]));
    }

    /** Simulates answers to the keeper's pings from all nodes except those of the silent zones. */
    void answerPings (QuotaKeeper& keeper, Timestamp now, const std::set<std::string>& silent = {})
    {
        for (const auto& node : nodes)
            if (! silent.contains (node.zone))
            {
                keeper.recordContact (now, node.ip);
                keeper.recordDigest (now, node.ip, keeper.digestFor ("a"));
            }
    }

    /** Asks for all available tokens every 50 ms.
        @returns the number of tokens granted
    */
    std::uint32_t drain (QuotaKeeper& keeper, std::int64_t fromMs, std::int64_t untilMs,
                         const std::set<std::string>& silent = {})
    {
        std::uint32_t granted = 0;

        for (auto ms = fromMs; ms < untilMs; ms += 50)
        {
            answerPings (keeper, at (ms), silent);
            granted += keeper.handleRequest (at (ms), tenant, { 1, "a", 1000, 0 }, "x").granted;
        }

        return granted;
    }

    std::vector<QuotaNode> nodes = makeNodes (12);
    std::vector<QuotaNode> order;
    Tenant tenant;
    QuotaKeeper first{ {}, 1 }, second{ {}, 2 };
};

TEST_F (Keeping, GrantsTheQuotaWithinAWindowAndFewTokensInitially)
{
    const auto granted = drain (first, 0, 5000);
    EXPECT_GE (granted, 505U);
    EXPECT_LE (granted, 525U); // The limit is 5 x 100 + 20 and the tokens of a new bucket.
}

TEST_F (Keeping, AccumulatesUnusedTokensForABurst)
{
    drain (first, 0, 5000);
    // The node asks for two tokens per second, so that nearly nothing is used.
    for (int ms = 5000; ms < 9000; ms += 500)
    {
        answerPings (first, at (ms));
        first.handleRequest (at (ms), tenant, { 1, "a", 1, 0 }, "x");
    }

    answerPings (first, at (9000));
    const auto burst = first.handleRequest (at (9000), tenant, { 1, "a", 1000, 0 }, "x");
    const auto expected = 0.5 * 20 + 0.15 * QuotaBounds{}.permittedExcess (tenant.quota);
    EXPECT_NEAR (burst.granted, expected, 2);
    EXPECT_GT (burst.retryAfterMs, 0U);
}

TEST_F (Keeping, GrantsInProportionToTheReachableNodes)
{
    drain (first, 0, 2000);
    std::set<std::string> others{ "z0", "z1", "z2", "z3" };
    others.erase (order[0].zone);
    drain (first, 2000, 3000, others); // The earlier answers expire.
    EXPECT_NEAR (drain (first, 3000, 5000, others), 52, 3);
}

TEST_F (Keeping, GrantsNothingForNodesThatKnowOtherCandidates)
{
    drain (first, 0, 2000);

    for (auto ms = 2000; ms < 2500; ms += 50)
    {
        answerPings (first, at (ms));

        for (const auto& node : nodes)
            if (node.zone != order[0].zone)
                first.recordDigest (at (ms), node.ip, { "a", 1 });

        first.handleRequest (at (ms), tenant, { 1, "a", 1000, 0 }, "x");
    }

    EXPECT_NEAR (first.reachableShare (at (2500), "a"), 3.0 / 12, 1e-9)
        << "only the nodes of the own zone count";
}

TEST_F (Keeping, AStandInRedirectsWhileTheKeeperIsAlive)
{
    second.recordContact (at (0), order[0].ip);
    const auto grant = second.handleRequest (at (10), tenant, { 7, "a", 5, 0 }, "x");
    EXPECT_EQ (grant.keeper, order[0].ip);
    EXPECT_EQ (grant.granted, 0U);
    EXPECT_EQ (grant.number, 7U);
}

TEST_F (Keeping, AStandInWaitsForTheKeeperToAnswerBeforeItGrants)
{
    EXPECT_EQ (second.handleRequest (at (0), tenant, { 1, "a", 5, 0 }, "x").granted, 0U);
    const auto pinged = second.nodesToPing (at (1));
    EXPECT_NE (std::find (pinged.begin(), pinged.end(), order[0].ip), pinged.end());
    EXPECT_EQ (second.handleRequest (at (60), tenant, { 1, "a", 5, 0 }, "x").granted, 0U);
    EXPECT_GT (second.handleRequest (at (150), tenant, { 1, "a", 5, 0 }, "x").granted, 0U);
}

TEST_F (Keeping, AKeeperStartsWithFewTokensAfterAPause)
{
    drain (first, 0, 5000);
    // The keeper was paused for four seconds and has received no datagram since.
    const auto grant = first.handleRequest (at (9000), tenant, { 1, "a", 1000, 0 }, "x");
    EXPECT_LE (grant.granted, 5U);
    EXPECT_NEAR (first.reachableShare (at (9000), "a"), 1.0 / 12, 1e-9) << "itself";
}

TEST_F (Keeping, GrantsReturnedTokensAgain)
{
    drain (first, 0, 1000);
    answerPings (first, at (1000));
    EXPECT_EQ (first.handleRequest (at (1000), tenant, { 1, "a", 12, 8 }, "x").granted, 12U);
}

TEST_F (Keeping, AssignsFallbackRatesInProportionToGrants)
{
    QuotaGrant heavy, light;

    for (int ms = 0; ms < 3000; ms += 100)
    {
        answerPings (first, at (ms));
        heavy = first.handleRequest (at (ms), tenant, { 1, "a", 3, 0 }, "heavy");
        light = first.handleRequest (at (ms), tenant, { 1, "a", 1, 0 }, "light");
    }

    EXPECT_NEAR (heavy.fallbackPerSecond / light.fallbackPerSecond, 3, 0.3);
    EXPECT_LE (heavy.fallbackPerSecond + light.fallbackPerSecond, 100);
}

TEST (QuotaLease, PassesGrantedRequestsUntilTheGrantExpires)
{
    QuotaLease lease;
    EXPECT_EQ (lease.take (at (0)), QuotaDecision::wait);
    EXPECT_EQ (lease.tokensToRequest (at (0), 1), 1U)
        << "asks for single requests while the rate is low";
    lease.addGrant (at (5), 3, 1);
    EXPECT_EQ (lease.takeGranted (at (5)), QuotaDecision::pass);
    EXPECT_EQ (lease.take (at (10)), QuotaDecision::pass);
    EXPECT_EQ (lease.take (at (900)), QuotaDecision::wait);
    EXPECT_EQ (lease.takeExpired (at (900)), 1U);
    EXPECT_EQ (lease.takeExpired (at (900)), 0U);
}

TEST (QuotaLease, AsksInAdvanceWhenTheRateIsHigh)
{
    QuotaLease lease;

    for (int ms = 0; ms < 2000; ms += 20)
    {
        lease.addGrant (at (ms), 1, 1);
        EXPECT_EQ (lease.take (at (ms)), QuotaDecision::pass);
    }

    EXPECT_NEAR (lease.arrivalRate (at (2000)), 50, 8);
    EXPECT_NEAR (lease.tokensToRequest (at (2000), 0), 12, 3);
}

TEST (QuotaLease, RefusesAtOnceForTheRetryDelay)
{
    QuotaLease lease;
    lease.refuseFor (at (0), Milliseconds (100));
    EXPECT_EQ (lease.take (at (50)), QuotaDecision::refuse);
    EXPECT_EQ (lease.take (at (101)), QuotaDecision::wait);
}

TEST (QuotaLease, ReusesTheTokensOfRequestsThatDidNotRun)
{
    QuotaLease lease;
    lease.addGrant (at (0), 1, 1);
    EXPECT_EQ (lease.take (at (0)), QuotaDecision::pass);
    lease.giveBack (at (10), lease.latestPassExpiry());
    EXPECT_EQ (lease.take (at (20)), QuotaDecision::pass);
    // The grant has expired, so that another node may hold the token.
    lease.giveBack (at (2000), lease.latestPassExpiry());
    EXPECT_EQ (lease.take (at (2000)), QuotaDecision::wait);
}

TEST (QuotaLease, LaterGrantsDoNotExtendEarlierOnes)
{
    QuotaLease lease;
    lease.addGrant (at (0), 5, 1);
    lease.addGrant (at (700), 1, 1);
    EXPECT_EQ (lease.take (at (700)), QuotaDecision::pass) << "uses the first grant";
    EXPECT_EQ (lease.take (at (900)), QuotaDecision::pass) << "uses the second grant";
    EXPECT_EQ (lease.take (at (900)), QuotaDecision::wait);
    EXPECT_EQ (lease.takeExpired (at (900)), 4U);
}

TEST (QuotaLease, ARequestPassedWithoutAKeeperReturnsNoToken)
{
    QuotaLease lease;
    lease.addGrant (at (0), 1, 30);
    EXPECT_EQ (lease.takeWithoutKeeper (at (500), { 100, 20 }, 10, 0), QuotaDecision::pass);
    lease.giveBack (at (510), {});
    EXPECT_EQ (lease.takeGranted (at (520)), QuotaDecision::pass);
    EXPECT_EQ (lease.takeGranted (at (520)), QuotaDecision::wait);
}

/** @returns how many requests pass in five seconds without a keeper when 100 arrive per second. */
int passedWithoutKeeper (QuotaLease& lease, std::int64_t fromMs, std::size_t nodes)
{
    int passed = 0;

    for (auto ms = fromMs; ms < fromMs + 5000; ms += 10)
        passed += lease.takeWithoutKeeper (at (ms), { 100, 20 }, nodes, 0.5) == QuotaDecision::pass
                      ? 1
                      : 0;

    return passed;
}

TEST (QuotaLease, UsesItsAssignedOrAnEqualShareWithoutAKeeper)
{
    QuotaLease neverAnswered, answered, outdated;
    answered.addGrant (at (0), 1, 30);
    outdated.addGrant (at (0), 1, 30);
    EXPECT_NEAR (passedWithoutKeeper (neverAnswered, 1000, 10), 25, 2) << "no tokens at the start";
    EXPECT_NEAR (passedWithoutKeeper (answered, 1000, 10), 165, 5);
    EXPECT_NEAR (passedWithoutKeeper (outdated, 16'000, 10), 30, 10);
}

TEST (KeeperChoice, ExcludesUnresponsiveNodesForAWhile)
{
    const std::vector<QuotaNode> candidates{ { "1", "z1" }, { "2", "z2" } };
    KeeperChoice choice;
    EXPECT_EQ (choice.next (at (0), candidates, {})->ip, "1");
    EXPECT_EQ (choice.next (at (0), candidates, { "1" })->ip, "2");
    choice.markUnresponsive (at (0), "1");
    EXPECT_EQ (choice.next (at (100), candidates, {})->ip, "2");
    EXPECT_EQ (choice.next (at (100), candidates, { "2" }), nullptr);
    EXPECT_EQ (choice.next (at (600), candidates, {})->ip, "1");
    choice.markUnresponsive (at (600), "1");
    choice.markResponsive ("1");
    EXPECT_EQ (choice.next (at (601), candidates, {})->ip, "1");
}

TEST (AnswerTime, FollowsTheRoundTripTimeAndDoublesOnTimeouts)
{
    AnswerTime time;
    EXPECT_EQ (time.current(), Milliseconds (40));

    for (int answer = 0; answer < 50; ++answer)
        time.recordAnswer (Milliseconds (60));

    EXPECT_NEAR (toMilliseconds (time.current()), 60, 5);
    time.recordTimeOut();
    EXPECT_GT (time.current(), Milliseconds (110));
    time.recordTimeOut();
    time.recordTimeOut();
    EXPECT_EQ (time.current(), Milliseconds (200));
    time.recordAnswer (Milliseconds (60));
    EXPECT_LT (time.current(), Milliseconds (80));
}

TEST (QuotaMessage, RoundTripsAndRejectsInvalidDatagrams)
{
    const auto ask = decodeQuotaRequest (encode (QuotaRequest{ 5, "a", 7, 2, { 20, 10 } }));
    ASSERT_TRUE (ask);
    EXPECT_EQ (ask->tenant, "a");
    EXPECT_EQ (ask->wanted, 7U);
    EXPECT_EQ (ask->returned, 2U);
    EXPECT_EQ (ask->quota, (Quota{ 20, 10 }));
    const auto grant = decodeQuotaGrant (encode (QuotaGrant{ 5, 7, 20, "10.0.0.1", 3.5 }));
    ASSERT_TRUE (grant);
    EXPECT_EQ (grant->keeper, "10.0.0.1");
    EXPECT_EQ (grant->fallbackPerSecond, 3.5);
    const auto ping = decodeQuotaPing (encode (QuotaPing{ true, { { "a", 9 }, { "b", 10 } } }));
    ASSERT_TRUE (ping);
    EXPECT_TRUE (ping->isReply);
    ASSERT_EQ (ping->digests.size(), 2U);
    EXPECT_EQ (ping->digests[1].tenant, "b");
    EXPECT_EQ (ping->digests[1].digest, 10U);

    const auto bytes = encode (QuotaRequest{ 5, "a", 7, 2, { 20, 10 } });
    EXPECT_FALSE (decodeQuotaGrant (bytes));
    EXPECT_FALSE (decodeQuotaPing (bytes));
    EXPECT_FALSE (decodeQuotaRequest (encode (QuotaRequest{ 5, "a", 2'000'000, 0, { 20, 10 } })));
    EXPECT_FALSE (decodeQuotaRequest (encode (QuotaRequest{ 5, "a", 7, 2, {} })))
        << "a quota without a rate";
    EXPECT_FALSE (decodeQuotaGrant (encode (QuotaGrant{ 5, 1, 0, "", -1 })));

    for (std::size_t length = 0; length < bytes.size(); ++length)
        EXPECT_FALSE (decodeQuotaRequest (bytes.substr (0, length))) << length;
}

} // namespace
} // namespace copperlead::mesh::test
