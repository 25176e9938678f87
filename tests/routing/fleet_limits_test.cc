// Tests of fleet limits divided among nodes: the parts add up to the limit, and a decrease of the
// live nodes doesn't raise them at once.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "routing/fleet_share.h"
#include "routing/in_flight_limiter.h"
#include "routing/rate_limiter.h"
#include "tests/routing/fleet.h"

namespace copperlead {
namespace {

using routing_test::kStart;

constexpr std::size_t kNodes = 1000;

TEST(RateLimiterTest, PartsOfAThousandNodesAddUpToTheLimit) {
  for (const std::uint32_t limit : {1U, 7U, 999U, 1000U, 1001U, 1500U, 2999U}) {
    std::vector<RateLimiter> nodes(kNodes);
    constexpr std::uint64_t kSeconds = 20;
    std::uint64_t total = 0;
    for (std::uint64_t second = 0; second < kSeconds; ++second) {
      std::uint64_t passed = 0;
      for (std::size_t rank = 0; rank < kNodes; ++rank) {
        // Every node gets more requests than its part of the limit.
        for (std::uint32_t call = 0; call <= limit / kNodes + 1; ++call) {
          const Timestamp now = kStart + std::chrono::seconds(second) + Milliseconds(call);
          passed += nodes[rank].TryAcquire(now, limit, {kNodes, rank}) ? 1 : 0;
        }
      }
      // In the first second the tokens of the ten seconds before it are available as well.
      if (second > 0) {
        EXPECT_EQ(passed, limit) << "second " << second;
      }
      total += passed;
    }
    EXPECT_LE(total, limit * (kSeconds + RateLimiter::kTokenLifetimeSeconds)) << limit;
  }
}

TEST(RateLimiterTest, AnIdleFleetAccumulatesFewTokens) {
  for (const std::uint32_t limit : {1U, 50U, 2000U}) {
    std::vector<RateLimiter> nodes(kNodes);
    std::uint64_t passed = 0;
    for (std::size_t rank = 0; rank < kNodes; ++rank) {
      for (int call = 0; call < 20; ++call) {
        passed +=
            nodes[rank].TryAcquire(kStart + std::chrono::hours(1), limit, {kNodes, rank}) ? 1 : 0;
      }
    }
    EXPECT_GE(passed, limit);
    EXPECT_LE(passed, limit < kNodes ? limit * RateLimiter::kTokenLifetimeSeconds : limit);
  }
}

TEST(RateLimiterTest, RareRequestsFindTokensAndStayBelowTheLimit) {
  constexpr std::uint32_t kLimit = 100;
  std::mt19937_64 random(3);
  std::vector<RateLimiter> nodes(kNodes);
  std::vector<std::uint64_t> passed_per_second(120);
  for (std::size_t second = 0; second < passed_per_second.size(); ++second) {
    for (int call = 0; call < 300; ++call) {
      const std::size_t rank = random() % kNodes;
      const Timestamp now = kStart + std::chrono::seconds(second) + Milliseconds(3 * call);
      passed_per_second[second] += nodes[rank].TryAcquire(now, kLimit, {kNodes, rank}) ? 1 : 0;
    }
  }
  std::uint64_t total = 0;
  for (std::size_t first = 0; first < passed_per_second.size(); ++first) {
    std::uint64_t in_window = 0;
    for (std::size_t last = first; last < passed_per_second.size(); ++last) {
      in_window += passed_per_second[last];
      EXPECT_LE(in_window, kLimit * (last - first + 1 + RateLimiter::kTokenLifetimeSeconds));
    }
    total += passed_per_second[first];
  }
  // The requests are three times the limit, so most of the limit is used.
  EXPECT_GE(total, passed_per_second.size() * kLimit * 8 / 10);
}

TEST(InFlightLimiterTest, PartsAddUpToTheLimitAndAreReleased) {
  for (const std::uint32_t limit : {1U, 10U, 999U, 1000U, 1500U}) {
    std::vector<InFlightLimiter> nodes(kNodes);
    std::uint64_t held = 0;
    for (std::size_t rank = 0; rank < kNodes; ++rank) {
      while (nodes[rank].TryAcquire(limit, {kNodes, rank})) ++held;
      // When the share shrinks, requests in flight continue, but no new one passes.
      EXPECT_FALSE(nodes[rank].TryAcquire(limit, {2 * kNodes, rank}) && limit < kNodes);
    }
    EXPECT_EQ(held, limit);
    nodes[0].Release();
    EXPECT_TRUE(nodes[0].TryAcquire(limit, {kNodes, 0}));
    EXPECT_FALSE(nodes[0].TryAcquire(limit, {kNodes, 0}));
  }
}

TEST(FleetDivisorTest, RisesAtOnceAndDecaysAfterTheHoldTime) {
  FleetDivisor divisor;
  divisor.Observe(kStart, 1000);
  EXPECT_EQ(divisor.Value(kStart), 1000U);
  // In a partition half of the fleet appears to have failed.
  divisor.Observe(kStart, 500);
  EXPECT_EQ(divisor.Value(kStart + FleetDivisor::kHoldTime), 1000U);
  const Timestamp later = kStart + FleetDivisor::kHoldTime + std::chrono::minutes(1);
  EXPECT_EQ(divisor.Value(later), 900U);
  // After the partition all nodes count again at once, and the hold time starts again.
  divisor.Observe(later, 1000);
  EXPECT_EQ(divisor.Value(later), 1000U);
  divisor.Observe(later, 500);
  EXPECT_EQ(divisor.Value(later + FleetDivisor::kHoldTime), 1000U);
  // A fleet that stays smaller can use its whole limit again eventually.
  EXPECT_EQ(divisor.Value(later + std::chrono::hours(2)), 500U);
  divisor.Observe(later + std::chrono::hours(2), 2000);
  EXPECT_EQ(divisor.Value(later + std::chrono::hours(2)), 2000U);
}

// Both halves of a partitioned fleet together stay within the limit, due to the hold time or the
// platform's list.
TEST(FleetLimitsTest, APartitionedFleetPassesNoMoreThanTheLimit) {
  constexpr std::size_t kFleet = 4;
  RouteRow row = routing_test::MakeRow();
  row.requests_per_second = 400;
  MachineList list = routing_test::MakeMachines(40);
  for (std::size_t node = 0; node < kFleet; ++node) {
    Machine machine;
    machine.id = "node-" + std::to_string(node);
    machine.kind = MachineKind::kNode;
    list.machines.push_back(machine);
  }
  for (const bool listed : {true, false}) {
    if (!listed) list.machines.resize(list.machines.size() - kFleet);
    std::vector<std::unique_ptr<RequestRouter>> nodes;
    for (std::size_t node = 0; node < kFleet; ++node) {
      nodes.push_back(std::make_unique<RequestRouter>(RouterSettings{}, node));
      nodes[node]->Publish(kStart, routing_test::MakeSnapshot({row}, list));
      nodes[node]->SetLiveNodes(kStart, kFleet, node);
      nodes[node]->SetLiveNodes(kStart, kFleet / 2, node % 2);
    }
    // While the platform lists the nodes, the divisor does not decay at all.
    const Timestamp now = kStart + (listed ? std::chrono::hours(3) : FleetDivisor::kHoldTime);
    int passed = 0;
    for (const auto& node : nodes) {
      for (int call = 0; call < 400; ++call) {
        const auto session = node->Begin(routing_test::MakeRequest());
        if (!routing_test::TargetOf(session->Start(now)).empty()) ++passed;
      }
    }
    EXPECT_EQ(passed, 400) << listed;
  }
}

TEST(FleetLimitsTest, LimitsAreReleasedWhenTheSessionEnds) {
  RouteRow row = routing_test::MakeRow();
  row.max_in_flight = 2;
  RequestRouter router({}, 1);
  const auto snapshot = routing_test::MakeSnapshot({row}, routing_test::MakeMachines(3));
  router.Publish(kStart, snapshot);
  const auto first = router.Begin(routing_test::MakeRequest());
  ASSERT_FALSE(routing_test::TargetOf(first->Start(kStart)).empty());
  auto second = router.Begin(routing_test::MakeRequest());
  ASSERT_FALSE(routing_test::TargetOf(second->Start(kStart)).empty());
  router.Publish(kStart, snapshot);  // A new snapshot keeps the requests in flight.
  const auto refused = router.Begin(routing_test::MakeRequest());
  EXPECT_EQ(routing_test::KindOf(refused->Start(kStart)), ErrorKind::kInFlightLimited);
  EXPECT_TRUE(std::holds_alternative<RelayAnswer>(first->OnAnswer(kStart, {})));
  EXPECT_EQ(router.in_flight(), 2U);  // The request is in flight until the answer is relayed.
  first->OnFinished(kStart, true);
  second.reset();  // The session ends without an answer.
  EXPECT_EQ(router.in_flight(), 0U);
  const auto third = router.Begin(routing_test::MakeRequest());
  EXPECT_FALSE(routing_test::TargetOf(third->Start(kStart)).empty());
}

}  // namespace
}  // namespace copperlead
