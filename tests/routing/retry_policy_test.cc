// Contract tables of the request path under failure, taken through whole sessions: how an attempt
// ends x method x the row's `repeatable` x what the back end said -> what follows.
#include "routing/retry_policy.h"

#include <gtest/gtest.h>

#include <string>

#include "tests/routing/fleet.h"

namespace copperlead {
namespace {

using routing_test::kStart;
using routing_test::MakeMachines;
using routing_test::MakeRequest;
using routing_test::MakeRow;
using routing_test::MakeSnapshot;
using routing_test::TargetOf;

constexpr Repeatable kBy = Repeatable::kByMethod;
constexpr Repeatable kYes = Repeatable::kYes;
constexpr Repeatable kNo = Repeatable::kNo;

// What ends an attempt: a failure, or an answer's head.
struct Event {
  AttemptFailure failure = AttemptFailure::kConnectFailed;
  int status = 0;  // Above 0: an answer.
  bool says_not_run = false;
};

constexpr Event kConnect{AttemptFailure::kConnectFailed};
constexpr Event kNothing{AttemptFailure::kNothingWritten};
constexpr Event kLost{AttemptFailure::kLostAfterWrite};
constexpr Event kTimeout{AttemptFailure::kTimeoutAfterWrite};
constexpr Event kDeadline{AttemptFailure::kDeadlineAfterWrite};
constexpr Event kGone{AttemptFailure::kCallerGone};
constexpr Event Says(int status) { return {AttemptFailure::kConnectFailed, status, false}; }
constexpr Event SaysNotRun(int status) { return {AttemptFailure::kConnectFailed, status, true}; }

RequestAction Feed(RequestSession& session, const Event& event) {
  if (event.status == 0) return session.OnFailure(kStart, event.failure);
  AnswerHead head;
  head.status = event.status;
  head.says_not_run = event.says_not_run;
  return session.OnAnswer(kStart, head);
}

// @return "elsewhere" or "same" (an attempt at another or the same back end), "relay", or the name
//         of the answer's kind with its outcome.
std::string Describe(const RequestAction& action, const std::string& last_target) {
  if (std::holds_alternative<SendAttempt>(action)) {
    return TargetOf(action) == last_target ? "same" : "elsewhere";
  }
  if (std::holds_alternative<RelayAnswer>(action)) return "relay";
  const ErrorKind kind = std::get<AnswerError>(action).kind;
  return std::string(Name(kind)) + " " + std::string(Name(AnswerFor(kind).outcome));
}

struct AttemptCase {
  Event event;
  const char* method;
  Repeatable repeatable;
  const char* expected;
  bool body_can_be_resent = true;
  bool already_retried = false;
  std::uint32_t max_retries = 3;
};

constexpr AttemptCase kAttemptCases[] = {
    // Nothing was written: any method goes elsewhere.
    {kConnect, "GET", kBy, "elsewhere"},
    {kConnect, "POST", kBy, "elsewhere"},
    {kConnect, "POST", kYes, "elsewhere"},
    {kConnect, "POST", kNo, "elsewhere"},
    {kConnect, "GET", kNo, "elsewhere"},
    {kConnect, "POST", kNo, "elsewhere", false},
    {kConnect, "POST", kNo, "connect_failed not-run", true, true},
    {kConnect, "GET", kBy, "connect_failed not-run", true, true},
    {kConnect, "GET", kBy, "connect_failed not-run", true, false, 0},
    // A kept connection had been closed: the same attempt, on a new connection.
    {kNothing, "GET", kBy, "same"},
    {kNothing, "POST", kBy, "same"},
    {kNothing, "POST", kNo, "same", false},
    {kNothing, "POST", kNo, "same", true, true},
    {kNothing, "POST", kNo, "same", true, false, 0},
    // Something was written, and no word came back.
    {kLost, "GET", kBy, "elsewhere"},
    {kLost, "HEAD", kBy, "elsewhere"},
    {kLost, "PUT", kBy, "elsewhere"},
    {kLost, "DELETE", kBy, "elsewhere"},
    {kLost, "OPTIONS", kBy, "elsewhere"},
    {kLost, "TRACE", kBy, "elsewhere"},
    {kLost, "POST", kBy, "connection_lost unknown"},
    {kLost, "PATCH", kBy, "connection_lost unknown"},
    {kLost, "CONNECT", kBy, "connection_lost unknown"},
    {kLost, "get", kBy, "connection_lost unknown"},
    {kLost, "POST", kYes, "elsewhere"},
    {kLost, "GET", kNo, "connection_lost unknown"},
    {kLost, "PUT", kNo, "connection_lost unknown"},
    {kLost, "PUT", kBy, "connection_lost unknown", false},
    {kLost, "GET", kBy, "connection_lost unknown", true, true},
    {kLost, "GET", kBy, "connection_lost unknown", true, false, 0},
    {kTimeout, "GET", kBy, "elsewhere"},
    {kTimeout, "POST", kYes, "elsewhere"},
    {kTimeout, "POST", kBy, "response_timeout unknown"},
    {kTimeout, "GET", kNo, "response_timeout unknown"},
    {kTimeout, "PUT", kBy, "response_timeout unknown", false},
    {kTimeout, "GET", kBy, "response_timeout unknown", true, true},
    // Nobody waits any more.
    {kDeadline, "GET", kBy, "deadline_after_send unknown"},
    {kDeadline, "POST", kYes, "deadline_after_send unknown"},
    {kDeadline, "POST", kNo, "deadline_after_send unknown"},
    {kGone, "GET", kBy, "caller_gone unknown"},
    {kGone, "POST", kNo, "caller_gone unknown"},
    // The back end's own word that it did not run it.
    {SaysNotRun(503), "GET", kBy, "elsewhere"},
    {SaysNotRun(503), "POST", kBy, "elsewhere"},
    {SaysNotRun(503), "POST", kNo, "elsewhere"},
    {SaysNotRun(429), "POST", kNo, "elsewhere"},
    {SaysNotRun(500), "POST", kNo, "elsewhere"},
    {SaysNotRun(503), "POST", kNo, "backend_refused not-run", false},
    {SaysNotRun(503), "POST", kNo, "backend_refused not-run", true, true},
    {SaysNotRun(503), "GET", kBy, "backend_refused not-run", true, true},
    {SaysNotRun(503), "GET", kBy, "backend_refused not-run", true, false, 0},
    {SaysNotRun(404), "GET", kBy, "relay"},
    {SaysNotRun(400), "POST", kNo, "relay"},
    // Any other answer is the answer, also a bad one.
    {Says(200), "POST", kNo, "relay"},
    {Says(404), "GET", kBy, "relay"},
    {Says(429), "GET", kYes, "relay"},
    {Says(500), "GET", kYes, "relay"},
    {Says(502), "GET", kYes, "relay"},
    {Says(503), "GET", kYes, "relay"},
    {Says(503), "POST", kNo, "relay"},
    {Says(504), "GET", kBy, "relay"},
};

class RetryContractTest : public testing::Test {
 protected:
  void Publish(Repeatable repeatable, std::uint32_t max_retries, std::size_t back_ends = 4) {
    RouteRow row = MakeRow();
    row.repeatable = repeatable;
    row.max_retries = max_retries;
    router_.Publish(kStart, MakeSnapshot({row}, MakeMachines(back_ends)));
  }

  RequestRouter router_{{}, 7};
};

TEST_F(RetryContractTest, FirstAttempt) {
  for (const AttemptCase& row : kAttemptCases) {
    // Each row meets fresh back ends.
    RequestRouter router({}, 7);
    RouteRow route = MakeRow();
    route.repeatable = row.repeatable;
    route.max_retries = row.max_retries;
    router.Publish(kStart, MakeSnapshot({route}, MakeMachines(4)));
    RequestFacts facts = MakeRequest(row.method);
    facts.body_can_be_resent = row.body_can_be_resent;
    facts.already_retried = row.already_retried;
    const auto session = router.Begin(facts);
    const RequestAction first = session->Start(kStart);
    ASSERT_FALSE(TargetOf(first).empty());
    const RequestAction next = Feed(*session, row.event);
    EXPECT_EQ(Describe(next, TargetOf(first)), row.expected)
        << "row " << &row - kAttemptCases << ": " << row.method;
    // A given-up request holds nothing.
    if (std::holds_alternative<AnswerError>(next)) {
      EXPECT_EQ(router.in_flight(), 0U);
    }
  }
}

struct SequenceCase {
  std::vector<Event> events;
  const char* expected;  // What follows the last one.
  const char* method = "GET";
  std::uint32_t max_retries = 3;
};

TEST_F(RetryContractTest, WhatOneAttemptLeftUnknownNoOtherMakesNotRun) {
  const std::vector<SequenceCase> cases = {
      {{kLost, SaysNotRun(503)}, "connection_lost unknown", "GET", 1},
      {{kTimeout, SaysNotRun(503)}, "response_timeout unknown", "GET", 1},
      {{kLost, kConnect}, "connection_lost unknown", "GET", 1},
      {{kLost, SaysNotRun(404)}, "connection_lost unknown"},
      {{kLost, SaysNotRun(200)}, "connection_lost unknown"},
      {{kLost, SaysNotRun(503), kConnect}, "connection_lost unknown", "GET", 2},
      {{kConnect, kLost, SaysNotRun(429)}, "connection_lost unknown", "GET", 2},
      {{kLost, kTimeout}, "response_timeout unknown", "GET", 1},
      {{kLost, Says(404)}, "relay"},
      {{kLost, Says(503)}, "relay"},
      {{kLost, SaysNotRun(503)}, "elsewhere"},
      // Without doubt, not-run it stays.
      {{kConnect, SaysNotRun(503)}, "backend_refused not-run", "POST", 1},
      {{SaysNotRun(503), kConnect}, "connect_failed not-run", "POST", 1},
      {{SaysNotRun(503), kLost}, "connection_lost unknown", "POST"},
      {{kNothing, kNothing}, "elsewhere", "POST"},
      {{kNothing, kNothing}, "connect_failed not-run", "POST", 0},
      {{kNothing, kLost}, "connection_lost unknown", "POST"},
  };
  for (const SequenceCase& row : cases) {
    RequestRouter router({}, 7);
    RouteRow route = MakeRow();
    route.max_retries = row.max_retries;
    router.Publish(kStart, MakeSnapshot({route}, MakeMachines(4)));
    const auto session = router.Begin(MakeRequest(row.method));
    RequestAction action = session->Start(kStart);
    std::string target;
    for (const Event& event : row.events) {
      ASSERT_TRUE(std::holds_alternative<SendAttempt>(action)) << &row - cases.data();
      target = TargetOf(action);
      action = Feed(*session, event);
    }
    EXPECT_EQ(Describe(action, target), row.expected) << "row " << &row - cases.data();
  }
}

TEST_F(RetryContractTest, NoAttemptStartsAfterTheDeadline) {
  struct DeadlineCase {
    AttemptFailure failure;
    const char* expected;
  };
  constexpr DeadlineCase kCases[] = {
      {AttemptFailure::kConnectFailed, "deadline_before_send not-run"},
      {AttemptFailure::kNothingWritten, "deadline_before_send not-run"},
      {AttemptFailure::kLostAfterWrite, "deadline_after_send unknown"},
      {AttemptFailure::kTimeoutAfterWrite, "deadline_after_send unknown"},
  };
  for (const DeadlineCase& row : kCases) {
    Publish(kBy, 3);
    RequestFacts facts = MakeRequest("GET");
    facts.time_left = Milliseconds(100);
    const auto session = router_.Begin(facts);
    const RequestAction first = session->Start(kStart);
    ASSERT_EQ(std::get<SendAttempt>(first).time_left, Duration(Milliseconds(100)));
    const RequestAction next = session->OnFailure(kStart + Milliseconds(100), row.failure);
    EXPECT_EQ(Describe(next, TargetOf(first)), row.expected);
  }
}

TEST_F(RetryContractTest, RetriesCarryTheirNumberAndTheTimeLeft) {
  Publish(kBy, 3);
  RequestFacts facts = MakeRequest("GET");
  facts.time_left = Milliseconds(100);
  const auto session = router_.Begin(facts);
  const auto first = std::get<SendAttempt>(session->Start(kStart));
  EXPECT_EQ(first.attempt, 1U);
  EXPECT_TRUE(first.allow_idle_connection);
  EXPECT_EQ(*first.path, "/permits/1");
  const auto second = std::get<SendAttempt>(
      session->OnFailure(kStart + Milliseconds(40), AttemptFailure::kLostAfterWrite));
  EXPECT_EQ(second.attempt, 2U);
  EXPECT_EQ(second.time_left, Duration(Milliseconds(60)));
  EXPECT_FALSE(second.allow_idle_connection);
}

TEST_F(RetryContractTest, NonRepeatableRequestsAvoidIdleConnections) {
  Publish(kBy, 3);
  EXPECT_FALSE(std::get<SendAttempt>(router_.Begin(MakeRequest("POST"))->Start(kStart))
                   .allow_idle_connection);
}

// Two nodes in a row, both allowed three retries: the lower one sees that the upper has retried.
TEST_F(RetryContractTest, NeverRetriesAtTwoLayers) {
  Publish(kBy, 3);
  RequestRouter lower({}, 9);
  lower.Publish(kStart, router_.snapshot());
  const auto upper_session = router_.Begin(MakeRequest("GET"));
  RequestAction upper = upper_session->Start(kStart);
  int lower_attempts = 0;
  while (const auto* attempt = std::get_if<SendAttempt>(&upper)) {
    RequestFacts facts = MakeRequest("GET");
    facts.already_retried = attempt->attempt > 1;
    const auto lower_session = lower.Begin(facts);
    RequestAction action = lower_session->Start(kStart);
    while (std::holds_alternative<SendAttempt>(action)) {
      EXPECT_EQ(std::get<SendAttempt>(action).attempt > 1,
                facts.already_retried || lower_attempts > 0);
      ++lower_attempts;
      action = lower_session->OnFailure(kStart, AttemptFailure::kLostAfterWrite);
    }
    upper = upper_session->OnFailure(kStart, AttemptFailure::kLostAfterWrite);
  }
  // The first attempt is retried below, three times; the upper's three retries are not: 4 + 3.
  EXPECT_EQ(lower_attempts, 7);
}

TEST_F(RetryContractTest, TheLastBackEndLeftIsAskedAgainOnlyWhenThatCanHelp) {
  Publish(kBy, 3, 1);
  const auto lost = router_.Begin(MakeRequest("GET"));
  ASSERT_FALSE(TargetOf(lost->Start(kStart)).empty());
  EXPECT_EQ(Describe(Feed(*lost, kLost), "old-100"), "same");
  const auto refused = router_.Begin(MakeRequest("GET", "request-2"));
  ASSERT_FALSE(TargetOf(refused->Start(kStart)).empty());
  EXPECT_EQ(Describe(Feed(*refused, SaysNotRun(503)), "old-100"), "backend_refused not-run");
}

TEST_F(RetryContractTest, RefusalsKeepTheBackEndsRetryAfter) {
  Publish(kBy, 0);
  const auto session = router_.Begin(MakeRequest());
  ASSERT_FALSE(TargetOf(session->Start(kStart)).empty());
  AnswerHead head = routing_test::NotRunHead();
  head.retry_after_seconds = 7;
  EXPECT_EQ(std::get<AnswerError>(session->OnAnswer(kStart, head)).retry_after_seconds, 7U);
}

TEST_F(RetryContractTest, TheBudgetEndsAStormOfRetries) {
  Publish(kYes, 3);
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    const auto session = router_.Begin(MakeRequest("GET", std::to_string(request)));
    RequestAction action = session->Start(kStart);
    while (std::holds_alternative<SendAttempt>(action)) {
      action = session->OnFailure(kStart, AttemptFailure::kLostAfterWrite);
      if (std::holds_alternative<SendAttempt>(action)) ++retries;
    }
  }
  // A tenth of the requests, and three a second whatever the share.
  EXPECT_LE(retries, 103);
  EXPECT_GE(retries, 95);
  EXPECT_EQ(router_.counters().retries, static_cast<std::uint64_t>(retries));
  EXPECT_GT(router_.counters().retries_denied, 0U);
  EXPECT_EQ(router_.in_flight(), 0U);
}

}  // namespace
}  // namespace copperlead
