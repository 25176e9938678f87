// Contract tests of retries, run through whole sessions. The tables state what follows for each
// combination of failure or answer, method and the row's `repeatable`.
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

constexpr Repeatable kByMethod = Repeatable::kByMethod;
constexpr Repeatable kYes = Repeatable::kYes;
constexpr Repeatable kNo = Repeatable::kNo;

// The end of an attempt: a failure, or the head of an answer.
struct Event {
  AttemptFailure failure = AttemptFailure::kConnectFailed;
  int status = 0;  // Status of an answer; 0: a failure.
  bool says_not_run = false;
};

constexpr Event kConnectFailed{AttemptFailure::kConnectFailed};
constexpr Event kNothingWritten{AttemptFailure::kNothingWritten};
constexpr Event kConnectionLost{AttemptFailure::kLostAfterWrite};
constexpr Event kTimeout{AttemptFailure::kTimeoutAfterWrite};
constexpr Event kDeadline{AttemptFailure::kDeadlineAfterWrite};
constexpr Event kCallerGone{AttemptFailure::kCallerGone};
constexpr Event PlainAnswer(int status) { return {AttemptFailure::kConnectFailed, status, false}; }
constexpr Event NotRunAnswer(int status) { return {AttemptFailure::kConnectFailed, status, true}; }

RequestAction ApplyEvent(RequestSession& session, const Event& event) {
  if (event.status == 0) return session.OnFailure(kStart, event.failure);
  AnswerHead head;
  head.status = event.status;
  head.says_not_run = event.says_not_run;
  return session.OnAnswer(kStart, head);
}

// @return "elsewhere" or "same" for an attempt at another or the same back end, "relay", or the
// name
//         and the outcome of the error.
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
    // Nothing was written, so a request of any method may go to another back end.
    {kConnectFailed, "GET", kByMethod, "elsewhere"},
    {kConnectFailed, "POST", kByMethod, "elsewhere"},
    {kConnectFailed, "POST", kYes, "elsewhere"},
    {kConnectFailed, "POST", kNo, "elsewhere"},
    {kConnectFailed, "GET", kNo, "elsewhere"},
    {kConnectFailed, "POST", kNo, "elsewhere", false},
    {kConnectFailed, "POST", kNo, "connect_failed not-run", true, true},
    {kConnectFailed, "GET", kByMethod, "connect_failed not-run", true, true},
    {kConnectFailed, "GET", kByMethod, "connect_failed not-run", true, false, 0},
    // A kept connection had been closed, so the attempt is repeated on a new connection.
    {kNothingWritten, "GET", kByMethod, "same"},
    {kNothingWritten, "POST", kByMethod, "same"},
    {kNothingWritten, "POST", kNo, "same", false},
    {kNothingWritten, "POST", kNo, "same", true, true},
    {kNothingWritten, "POST", kNo, "same", true, false, 0},
    // Something was written and no answer was received.
    {kConnectionLost, "GET", kByMethod, "elsewhere"},
    {kConnectionLost, "HEAD", kByMethod, "elsewhere"},
    {kConnectionLost, "PUT", kByMethod, "elsewhere"},
    {kConnectionLost, "DELETE", kByMethod, "elsewhere"},
    {kConnectionLost, "OPTIONS", kByMethod, "elsewhere"},
    {kConnectionLost, "TRACE", kByMethod, "elsewhere"},
    {kConnectionLost, "POST", kByMethod, "connection_lost unknown"},
    {kConnectionLost, "PATCH", kByMethod, "connection_lost unknown"},
    {kConnectionLost, "CONNECT", kByMethod, "connection_lost unknown"},
    {kConnectionLost, "get", kByMethod, "connection_lost unknown"},
    {kConnectionLost, "POST", kYes, "elsewhere"},
    {kConnectionLost, "GET", kNo, "connection_lost unknown"},
    {kConnectionLost, "PUT", kNo, "connection_lost unknown"},
    {kConnectionLost, "PUT", kByMethod, "connection_lost unknown", false},
    {kConnectionLost, "GET", kByMethod, "connection_lost unknown", true, true},
    {kConnectionLost, "GET", kByMethod, "connection_lost unknown", true, false, 0},
    {kTimeout, "GET", kByMethod, "elsewhere"},
    {kTimeout, "POST", kYes, "elsewhere"},
    {kTimeout, "POST", kByMethod, "response_timeout unknown"},
    {kTimeout, "GET", kNo, "response_timeout unknown"},
    {kTimeout, "PUT", kByMethod, "response_timeout unknown", false},
    {kTimeout, "GET", kByMethod, "response_timeout unknown", true, true},
    // The caller no longer waits for an answer.
    {kDeadline, "GET", kByMethod, "deadline_after_send unknown"},
    {kDeadline, "POST", kYes, "deadline_after_send unknown"},
    {kDeadline, "POST", kNo, "deadline_after_send unknown"},
    {kCallerGone, "GET", kByMethod, "caller_gone unknown"},
    {kCallerGone, "POST", kNo, "caller_gone unknown"},
    // The back end reports that it did not run the request.
    {NotRunAnswer(503), "GET", kByMethod, "elsewhere"},
    {NotRunAnswer(503), "POST", kByMethod, "elsewhere"},
    {NotRunAnswer(503), "POST", kNo, "elsewhere"},
    {NotRunAnswer(429), "POST", kNo, "elsewhere"},
    {NotRunAnswer(500), "POST", kNo, "elsewhere"},
    {NotRunAnswer(503), "POST", kNo, "backend_refused not-run", false},
    {NotRunAnswer(503), "POST", kNo, "backend_refused not-run", true, true},
    {NotRunAnswer(503), "GET", kByMethod, "backend_refused not-run", true, true},
    {NotRunAnswer(503), "GET", kByMethod, "backend_refused not-run", true, false, 0},
    {NotRunAnswer(404), "GET", kByMethod, "relay"},
    {NotRunAnswer(400), "POST", kNo, "relay"},
    // Any other answer is relayed, including errors.
    {PlainAnswer(200), "POST", kNo, "relay"},
    {PlainAnswer(404), "GET", kByMethod, "relay"},
    {PlainAnswer(429), "GET", kYes, "relay"},
    {PlainAnswer(500), "GET", kYes, "relay"},
    {PlainAnswer(502), "GET", kYes, "relay"},
    {PlainAnswer(503), "GET", kYes, "relay"},
    {PlainAnswer(503), "POST", kNo, "relay"},
    {PlainAnswer(504), "GET", kByMethod, "relay"},
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
    // Each row uses a new router, without state of back ends.
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
    const RequestAction next = ApplyEvent(*session, row.event);
    EXPECT_EQ(Describe(next, TargetOf(first)), row.expected)
        << "row " << &row - kAttemptCases << ": " << row.method;
    // A request that ended with an error holds no limits.
    if (std::holds_alternative<AnswerError>(next)) {
      EXPECT_EQ(router.in_flight(), 0U);
    }
  }
}

struct SequenceCase {
  std::vector<Event> events;
  const char* expected;  // What follows the last event.
  const char* method = "GET";
  std::uint32_t max_retries = 3;
};

TEST_F(RetryContractTest, ALaterNotRunDoesNotReplaceAnUnknownOutcome) {
  const std::vector<SequenceCase> cases = {
      {{kConnectionLost, NotRunAnswer(503)}, "connection_lost unknown", "GET", 1},
      {{kTimeout, NotRunAnswer(503)}, "response_timeout unknown", "GET", 1},
      {{kConnectionLost, kConnectFailed}, "connection_lost unknown", "GET", 1},
      {{kConnectionLost, NotRunAnswer(404)}, "connection_lost unknown"},
      {{kConnectionLost, NotRunAnswer(200)}, "connection_lost unknown"},
      {{kConnectionLost, NotRunAnswer(503), kConnectFailed}, "connection_lost unknown", "GET", 2},
      {{kConnectFailed, kConnectionLost, NotRunAnswer(429)}, "connection_lost unknown", "GET", 2},
      {{kConnectionLost, kTimeout}, "response_timeout unknown", "GET", 1},
      {{kConnectionLost, PlainAnswer(404)}, "relay"},
      {{kConnectionLost, PlainAnswer(503)}, "relay"},
      {{kConnectionLost, NotRunAnswer(503)}, "elsewhere"},
      // Without an earlier unknown outcome, the outcome is not-run.
      {{kConnectFailed, NotRunAnswer(503)}, "backend_refused not-run", "POST", 1},
      {{NotRunAnswer(503), kConnectFailed}, "connect_failed not-run", "POST", 1},
      {{NotRunAnswer(503), kConnectionLost}, "connection_lost unknown", "POST"},
      {{kNothingWritten, kNothingWritten}, "elsewhere", "POST"},
      {{kNothingWritten, kNothingWritten}, "connect_failed not-run", "POST", 0},
      {{kNothingWritten, kConnectionLost}, "connection_lost unknown", "POST"},
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
      action = ApplyEvent(*session, event);
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
    Publish(kByMethod, 3);
    RequestFacts facts = MakeRequest("GET");
    facts.time_left = Milliseconds(100);
    const auto session = router_.Begin(facts);
    const RequestAction first = session->Start(kStart);
    ASSERT_EQ(std::get<SendAttempt>(first).time_left, Duration(Milliseconds(100)));
    const RequestAction next = session->OnFailure(kStart + Milliseconds(100), row.failure);
    EXPECT_EQ(Describe(next, TargetOf(first)), row.expected);
  }
}

TEST_F(RetryContractTest, RetriesCarryTheAttemptNumberAndTheRemainingTime) {
  Publish(kByMethod, 3);
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
  Publish(kByMethod, 3);
  EXPECT_FALSE(std::get<SendAttempt>(router_.Begin(MakeRequest("POST"))->Start(kStart))
                   .allow_idle_connection);
}

// Two nodes in series are both allowed three retries. The lower one is told that the upper has
// retried and doesn't retry as well.
TEST_F(RetryContractTest, NeverRetriesAtTwoLayers) {
  Publish(kByMethod, 3);
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
  // The lower node retries the first attempt three times, and none of the upper's three retries:
  // 4 + 3.
  EXPECT_EQ(lower_attempts, 7);
}

TEST_F(RetryContractTest, TheOnlyBackEndIsTriedAgainAfterALossButNotARefusal) {
  Publish(kByMethod, 3, 1);
  const auto lost = router_.Begin(MakeRequest("GET"));
  ASSERT_FALSE(TargetOf(lost->Start(kStart)).empty());
  EXPECT_EQ(Describe(ApplyEvent(*lost, kConnectionLost), "old-100"), "same");
  const auto refused = router_.Begin(MakeRequest("GET", "request-2"));
  ASSERT_FALSE(TargetOf(refused->Start(kStart)).empty());
  EXPECT_EQ(Describe(ApplyEvent(*refused, NotRunAnswer(503)), "old-100"),
            "backend_refused not-run");
}

TEST_F(RetryContractTest, RefusalsKeepTheBackEndsRetryAfter) {
  Publish(kByMethod, 0);
  const auto session = router_.Begin(MakeRequest());
  ASSERT_FALSE(TargetOf(session->Start(kStart)).empty());
  AnswerHead head = routing_test::NotRunHead();
  head.retry_after_seconds = 7;
  EXPECT_EQ(std::get<AnswerError>(session->OnAnswer(kStart, head)).retry_after_seconds, 7U);
}

TEST_F(RetryContractTest, TheBudgetLimitsRetries) {
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
  // The budget is a tenth of the requests, and three per second regardless of the share.
  EXPECT_LE(retries, 103);
  EXPECT_GE(retries, 95);
  EXPECT_EQ(router_.counters().retries, static_cast<std::uint64_t>(retries));
  EXPECT_GT(router_.counters().retries_denied, 0U);
  EXPECT_EQ(router_.in_flight(), 0U);
}

}  // namespace
}  // namespace copperlead
