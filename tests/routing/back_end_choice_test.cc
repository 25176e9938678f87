// Tests of the choice of a back end: site split, load, slow start, ejection, leaving back ends.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "routing/ejection.h"
#include "routing/site_split.h"
#include "tests/routing/fleet.h"

namespace copperlead {
namespace {

using routing_test::kStart;
using routing_test::MakeMachines;
using routing_test::MakeRequest;
using routing_test::MakeRow;
using routing_test::MakeSnapshot;
using routing_test::NotRunHead;
using routing_test::TargetOf;

constexpr Duration kSecond = std::chrono::seconds(1);

TEST(SiteSplitTest, SharesFollowTheWeightsAndOnlyMovedSharesChangeSite) {
  constexpr int kRequests = 20000;
  RouteRow before;
  before.old_weight = 70;
  before.new_weight = 30;
  RouteRow after;
  after.old_weight = 60;
  after.new_weight = 40;
  int old_before = 0;
  int moved_back = 0;
  int moved = 0;
  for (int request = 0; request < kRequests; ++request) {
    const std::uint32_t share = SplitShare("id-" + std::to_string(request));
    const auto first = ChooseSite(before, share, {true, true});
    const auto second = ChooseSite(after, share, {true, true});
    EXPECT_EQ(first, ChooseSite(before, SplitShare("id-" + std::to_string(request)), {true, true}));
    if (first == Site::kOld) ++old_before;
    if (first == Site::kOld && second == Site::kNew) ++moved;
    if (first == Site::kNew && second == Site::kOld) ++moved_back;
  }
  EXPECT_NEAR(old_before, kRequests * 0.7, kRequests * 0.01);
  EXPECT_NEAR(moved, kRequests * 0.1, kRequests * 0.01);
  EXPECT_EQ(moved_back, 0);
}

TEST(SiteSplitTest, AnEmptySiteFallsBackOnlyToASiteWithWeight) {
  struct SplitCase {
    std::uint32_t old_weight;
    SiteAvailability available;
    std::uint32_t share;
    std::optional<Site> expected;
  };
  const std::vector<SplitCase> cases = {
      {50, {true, true}, 49, Site::kOld},    {50, {true, true}, 50, Site::kNew},
      {50, {false, true}, 0, Site::kNew},    {50, {true, false}, 99, Site::kOld},
      {100, {false, true}, 0, std::nullopt}, {0, {true, false}, 99, std::nullopt},
      {0, {true, true}, 0, Site::kNew},      {100, {true, true}, 99, Site::kOld},
      {50, {false, false}, 0, std::nullopt},
  };
  for (const SplitCase& row : cases) {
    RouteRow weights;
    weights.old_weight = row.old_weight;
    weights.new_weight = 100 - row.old_weight;
    EXPECT_EQ(ChooseSite(weights, row.share, row.available), row.expected) << &row - cases.data();
  }
}

class BackEndChoiceTest : public testing::Test {
 protected:
  void Publish(Timestamp now, const MachineList& machines, const FleetShape& fleet = {}) {
    router_.Publish(now, MakeSnapshot({MakeRow()}, machines, fleet));
  }

  // Runs one request to its end. @return the back end that got it; empty when it was refused.
  std::string Send(Timestamp now, const AnswerHead& head = {}) {
    const auto session = router_.Begin(MakeRequest("GET", std::to_string(next_id_++)));
    const RequestAction action = session->Start(now);
    if (std::holds_alternative<SendAttempt>(action)) session->OnAnswer(now, head);
    return TargetOf(action);
  }

  // Runs `count` requests like Send(). @return the number of requests by back end.
  std::map<std::string, int> SendMany(Timestamp now, int count) {
    std::map<std::string, int> counts;
    for (int request = 0; request < count; ++request) ++counts[Send(now)];
    return counts;
  }

  // Sends requests until back end `id` got `count` of them. These end with `failure`, all others
  // succeed.
  void FailAt(Timestamp now, const std::string& id, int count, AttemptFailure failure) {
    while (count > 0) {
      const auto session = router_.Begin(MakeRequest("POST", std::to_string(next_id_++)));
      const RequestAction action = session->Start(now);
      ASSERT_TRUE(std::holds_alternative<SendAttempt>(action));
      if (TargetOf(action) != id) {
        session->OnAnswer(now, {});
        continue;
      }
      session->OnFailure(now, failure);
      --count;
    }
  }

  RequestRouter router_{{}, 11};
  int next_id_ = 0;
};

TEST_F(BackEndChoiceTest, EnforcesTheInFlightLimitOfEachBackEnd) {
  Publish(kStart, MakeMachines(2));
  std::vector<std::unique_ptr<RequestSession>> sessions;
  std::map<std::string, int> counts;
  for (int request = 0; request < 20; ++request) {
    sessions.push_back(router_.Begin(MakeRequest("GET", std::to_string(request))));
    ++counts[TargetOf(sessions.back()->Start(kStart))];
  }
  EXPECT_EQ(counts["old-100"], 6);
  EXPECT_EQ(counts["old-101"], 6);
  EXPECT_EQ(counts[""], 8);
  EXPECT_EQ(router_.counters().refused[static_cast<std::size_t>(ErrorKind::kNoEndpoint)], 8U);
}

TEST_F(BackEndChoiceTest, ReportedLoadCountsWhileFresh) {
  Publish(kStart, MakeMachines(2));
  AnswerHead busy;
  busy.load_in_flight = 5;
  busy.load_slots = 6;
  std::string target;
  while (target != "old-100") {
    const auto session = router_.Begin(MakeRequest());
    target = TargetOf(session->Start(kStart));
    if (target == "old-100") session->OnAnswer(kStart, busy);
  }
  EXPECT_EQ(SendMany(kStart + kSecond, 50)["old-100"], 0);
  EXPECT_GT(SendMany(kStart + 3 * kSecond, 50)["old-100"], 10);
}

TEST_F(BackEndChoiceTest, TheSameZoneIsPreferredOnlyAtEqualLoad) {
  MachineList list = MakeMachines(2);
  list.machines[1].zone = "ank-b";
  FleetShape fleet;
  fleet.zone = "ank-b";
  Publish(kStart, list, fleet);
  EXPECT_EQ(SendMany(kStart, 50)["old-101"], 50);
  std::vector<std::unique_ptr<RequestSession>> held;
  std::map<std::string, int> counts;
  for (int request = 0; request < 8; ++request) {
    held.push_back(router_.Begin(MakeRequest("GET", std::to_string(request))));
    ++counts[TargetOf(held.back()->Start(kStart))];
  }
  EXPECT_EQ(counts["old-100"], 4);
}

TEST_F(BackEndChoiceTest, NewBackEndsStartSlowly) {
  Publish(kStart, MakeMachines(4));
  EXPECT_GT(SendMany(kStart, 400)["old-103"], 70)
      << "a node that just started treats no back end as new";
  Publish(kStart, MakeMachines(5));
  const int cold = SendMany(kStart + kSecond / 2, 400)["old-104"];
  const int half = SendMany(kStart + 5 * kSecond / 2, 400)["old-104"];
  const int warm = SendMany(kStart + 6 * kSecond, 400)["old-104"];
  EXPECT_GT(cold, 0);
  EXPECT_LT(cold, half);
  EXPECT_LT(half, warm);
  EXPECT_LT(cold, 25);
  EXPECT_GT(warm, 60);
}

TEST_F(BackEndChoiceTest, ConsecutiveFailuresEjectABackEnd) {
  Publish(kStart, MakeMachines(4));
  FailAt(kStart, "old-101", 4, AttemptFailure::kTimeoutAfterWrite);
  EXPECT_EQ(router_.counters().ejections, 0U);
  FailAt(kStart, "old-101", 1, AttemptFailure::kLostAfterWrite);
  EXPECT_EQ(router_.counters().ejections, 1U);
  EXPECT_EQ(SendMany(kStart + 4 * kSecond, 100)["old-101"], 0);
  EXPECT_GT(SendMany(kStart + 10 * kSecond, 100)["old-101"], 10);
}

TEST_F(BackEndChoiceTest, ASuccessResetsTheFailureCount) {
  Publish(kStart, MakeMachines(2));
  for (int round = 0; round < 4; ++round) {
    FailAt(kStart, "old-100", 4, AttemptFailure::kTimeoutAfterWrite);
    while (Send(kStart) != "old-100") {
    }
  }
  EXPECT_EQ(router_.counters().ejections, 0U);
}

TEST_F(BackEndChoiceTest, EjectionStaysWithinItsLimit) {
  struct EjectionLimitCase {
    std::size_t back_ends;
    std::uint64_t ejected;
  };
  constexpr EjectionLimitCase kCases[] = {{1, 0}, {2, 1}, {3, 1}, {4, 2}, {7, 3}};
  for (const EjectionLimitCase& row : kCases) {
    RequestRouter router({}, 5);
    router.Publish(kStart, MakeSnapshot({MakeRow()}, MakeMachines(row.back_ends)));
    for (int request = 0; request < 500; ++request) {
      const auto session = router.Begin(MakeRequest());
      ASSERT_FALSE(TargetOf(session->Start(kStart)).empty());
      session->OnFailure(kStart, AttemptFailure::kTimeoutAfterWrite);
    }
    EXPECT_EQ(router.counters().ejections, row.ejected) << row.back_ends;
  }
  EXPECT_FALSE(MayEject(3, 0, 0.0));
  EXPECT_FALSE(MayEject(1, 0, 1.0));
  EXPECT_FALSE(MayEject(3, 2, 1.0)) << "one back end always remains";
}

// One back end is ejected and the other is unreachable. A successful probe of the ejected one ends
// its ejection.
TEST_F(BackEndChoiceTest, ASuccessfulProbeEndsAnEjection) {
  Publish(kStart, MakeMachines(2));
  FailAt(kStart, "old-100", 5, AttemptFailure::kTimeoutAfterWrite);
  ASSERT_EQ(router_.counters().ejections, 1U);
  FailAt(kStart, "old-101", 1, AttemptFailure::kConnectFailed);
  std::string target;
  for (int request = 0; request < 10 && target != "old-100"; ++request) {
    const auto session = router_.Begin(MakeRequest());
    target = TargetOf(session->Start(kStart + Milliseconds(260 * request)));
    if (target == "old-101") session->OnFailure(kStart, AttemptFailure::kConnectFailed);
    if (target == "old-100") session->OnAnswer(kStart, {});
  }
  ASSERT_EQ(target, "old-100");
  EXPECT_EQ(Send(kStart + Milliseconds(100)), "old-100");
}

// The same applies whether or not a back end reports its load with the refusal.
TEST_F(BackEndChoiceTest, SheddingIsNotAFailureButLowersThePriority) {
  Publish(kStart, MakeMachines(2));
  for (int round = 0; round < 10; ++round) {
    AnswerHead shed = NotRunHead();
    if (round % 2 == 0) {
      shed.load_in_flight = 6;
      shed.load_slots = 6;
    }
    const Timestamp now = kStart + round * 10 * kSecond;
    std::string target;
    while (target != "old-100") {
      const auto session = router_.Begin(MakeRequest("GET", std::to_string(next_id_++)));
      target = TargetOf(session->Start(now));
      // The retry goes to the other back end.
      if (target == "old-100") {
        EXPECT_EQ(TargetOf(session->OnAnswer(now, shed)), "old-101");
      }
    }
    EXPECT_EQ(SendMany(now + Milliseconds(10), 30)["old-100"], 0) << round;
  }
  EXPECT_EQ(router_.counters().ejections, 0U);
  EXPECT_GT(SendMany(kStart + 200 * kSecond, 30)["old-100"], 0);
}

// After any sign that a back end is leaving, it gets no new requests.
TEST_F(BackEndChoiceTest, LeavingBackEndsGetNothingNew) {
  enum class Sign { kList, kRemoved, kConnectFailed, kFreeSlots, kClosesConnection };
  for (const Sign sign : {Sign::kList, Sign::kRemoved, Sign::kConnectFailed, Sign::kFreeSlots,
                          Sign::kClosesConnection}) {
    RequestRouter router({}, 5);
    MachineList list = MakeMachines(3);
    router.Publish(kStart, MakeSnapshot({MakeRow()}, list));
    // These requests are sent before the sign. Their answers arrive after it and don't clear it.
    std::vector<std::unique_ptr<RequestSession>> early;
    std::unique_ptr<RequestSession> session;
    while (early.size() < 6) {
      auto next = router.Begin(MakeRequest("POST", std::to_string(early.size())));
      const std::string target = TargetOf(next->Start(kStart));
      ASSERT_FALSE(target.empty());
      if (target == "old-101" && !session) {
        session = std::move(next);
      } else {
        early.push_back(std::move(next));
      }
    }
    ASSERT_TRUE(session);
    AnswerHead refusal = NotRunHead();
    if (sign == Sign::kList) list.machines[1].state = MachineState::kLeaving;
    if (sign == Sign::kRemoved) list.machines.erase(list.machines.begin() + 1);
    router.Publish(kStart, MakeSnapshot({MakeRow()}, list));
    if (sign == Sign::kConnectFailed) session->OnFailure(kStart, AttemptFailure::kConnectFailed);
    if (sign == Sign::kFreeSlots) {
      refusal.load_in_flight = 2;
      refusal.load_slots = 6;
    }
    refusal.closes_connection = sign == Sign::kClosesConnection;
    if (sign == Sign::kFreeSlots || sign == Sign::kClosesConnection) {
      session->OnAnswer(kStart, refusal);
    }
    for (const auto& earlier : early) {
      EXPECT_TRUE(std::holds_alternative<RelayAnswer>(earlier->OnAnswer(kStart, {})));
      earlier->OnFinished(kStart, true);
    }
    for (int request = 0; request < 200; ++request) {
      const Timestamp now = kStart + request * Milliseconds(4);
      const auto later = router.Begin(MakeRequest("POST", std::to_string(request)));
      const RequestAction first = later->Start(now);
      ASSERT_FALSE(TargetOf(first).empty());
      EXPECT_NE(TargetOf(first), "old-101") << static_cast<int>(sign);
      EXPECT_NE(TargetOf(later->OnAnswer(now, NotRunHead())), "old-101");
    }
  }
}

// A session that started with an older snapshot retries by the newest one.
TEST_F(BackEndChoiceTest, RetriesAvoidBackEndsThatStartedLeaving) {
  MachineList list = MakeMachines(2);
  Publish(kStart, list);
  const auto session = router_.Begin(MakeRequest());
  const std::string first = TargetOf(session->Start(kStart));
  list.machines[first == "old-100" ? 1 : 0].state = MachineState::kLeaving;
  Publish(kStart, list);
  EXPECT_EQ(routing_test::KindOf(session->OnFailure(kStart, AttemptFailure::kConnectFailed)),
            ErrorKind::kConnectFailed);
}

// When no back end of a site is available, occasional probes test whether one is available again.
TEST_F(BackEndChoiceTest, AnUnavailableSiteIsProbedRarelyAndReturnsAtOnce) {
  AnswerHead refusal = NotRunHead();
  refusal.load_in_flight = 0;
  refusal.load_slots = 6;
  for (const bool draining : {false, true}) {
    RequestRouter router({}, 3);
    router.Publish(kStart, MakeSnapshot({MakeRow()}, MakeMachines(1)));
    int sent = 0;
    for (int request = 0; request < 700; ++request) {
      const Timestamp now = kStart + Milliseconds(request);
      const auto session = router.Begin(MakeRequest());
      if (TargetOf(session->Start(now)).empty()) continue;
      ++sent;
      const RequestAction next = draining ? session->OnAnswer(now, refusal)
                                          : session->OnFailure(now, AttemptFailure::kConnectFailed);
      EXPECT_EQ(TargetOf(next), "");
    }
    EXPECT_EQ(sent, 4) << "the first request and a probe every 250 ms";
    const Timestamp back = kStart + Milliseconds(760);
    const auto probe = router.Begin(MakeRequest());
    EXPECT_EQ(TargetOf(probe->Start(back)), "old-100");
    const auto early = router.Begin(MakeRequest());
    EXPECT_EQ(TargetOf(early->Start(back)), "") << "while the probe runs";
    probe->OnAnswer(back, {});
    const auto later = router.Begin(MakeRequest());
    EXPECT_EQ(TargetOf(later->Start(back)), "old-100");
  }
}

TEST_F(BackEndChoiceTest, ConnectionsOverTheShareAreNotKept) {
  FleetShape fleet;
  fleet.live_nodes = 50;
  Publish(kStart, MakeMachines(1), fleet);
  const auto first = router_.Begin(MakeRequest());
  EXPECT_TRUE(std::get<SendAttempt>(first->Start(kStart)).keep_connection);
  const auto second = router_.Begin(MakeRequest());
  EXPECT_FALSE(std::get<SendAttempt>(second->Start(kStart)).keep_connection);
}

}  // namespace
}  // namespace copperlead
