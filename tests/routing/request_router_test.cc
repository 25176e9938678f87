#include "routing/request_router.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "tests/routing/fleet.h"

namespace copperlead {
namespace {

using routing_test::KindOf;
using routing_test::kStart;
using routing_test::MakeMachines;
using routing_test::MakeRequest;
using routing_test::MakeRow;
using routing_test::MakeSnapshot;
using routing_test::TargetOf;

TEST(RequestRouterTest, RefusesBeforeItHasATableAndWhileDraining) {
  RequestRouter router({}, 1);
  EXPECT_EQ(KindOf(router.Begin(MakeRequest())->Start(kStart)), ErrorKind::kNotReady);
  router.Publish(kStart, MakeSnapshot({MakeRow()}, MakeMachines(2)));
  EXPECT_EQ(TargetOf(router.Begin(MakeRequest())->Start(kStart)).substr(0, 4), "old-");
  router.SetDraining();
  EXPECT_EQ(KindOf(router.Begin(MakeRequest())->Start(kStart)), ErrorKind::kDraining);
}

TEST(RequestRouterTest, RefusesRequestsItCannotRoute) {
  RequestRouter router({}, 1);
  router.Publish(kStart, MakeSnapshot({MakeRow()}, MakeMachines(0)));
  EXPECT_EQ(KindOf(router.Begin(MakeRequest())->Start(kStart)), ErrorKind::kNoEndpoint);
  RequestFacts facts = MakeRequest();
  facts.path = "/other";
  EXPECT_EQ(KindOf(router.Begin(facts)->Start(kStart)), ErrorKind::kNoRoute);
  facts.path = "/permits/../../x";
  EXPECT_EQ(KindOf(router.Begin(facts)->Start(kStart)), ErrorKind::kBadRequest);
  facts = MakeRequest();
  facts.time_left = Duration(0);
  EXPECT_EQ(KindOf(router.Begin(facts)->Start(kStart)), ErrorKind::kDeadlineBeforeSend);
}

// Runs sessions in several threads while snapshots are replaced, for the thread sanitizer. No
// request remains in flight.
TEST(RequestRouterTest, ThreadsRunSessionsWhileSnapshotsAreReplaced) {
  constexpr int kThreads = 4;
  constexpr int kSessions = 1000;
  RequestRouter router({}, 1);
  router.Publish(kStart, MakeSnapshot({MakeRow()}, MakeMachines(4)));
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int number = 0; number < kSessions; ++number) {
        const Timestamp now = kStart + Milliseconds(number);
        const auto session = router.Begin(MakeRequest("GET", std::to_string(number)));
        if (!std::holds_alternative<SendAttempt>(session->Start(now))) continue;
        if (number % 3 == thread % 3) session->OnFailure(now, AttemptFailure::kLostAfterWrite);
        if (number % 3 == 1) session->OnAnswer(now, {});
      }
    });
  }
  for (int swap = 0; swap < 100; ++swap) {
    const Timestamp now = kStart + Milliseconds(swap * 10);
    router.Publish(now, MakeSnapshot({MakeRow()}, MakeMachines(2 + swap % 5)));
    router.SetLiveNodes(now, 1 + swap % 3);
  }
  for (std::thread& thread : threads) thread.join();
  EXPECT_EQ(router.in_flight(), 0U);
  EXPECT_EQ(router.counters().requests, static_cast<std::uint64_t>(kThreads * kSessions));
}

}  // namespace
}  // namespace copperlead
