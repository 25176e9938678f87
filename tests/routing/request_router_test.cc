#include "routing/request_router.h"

#include <gtest/gtest.h>

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

TEST(RequestRouterTest, RefusesWhatItCannotRoute) {
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

}  // namespace
}  // namespace copperlead
