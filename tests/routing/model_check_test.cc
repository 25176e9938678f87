// Random sessions against a model back end that counts runs. Whatever fails, and in whatever
// order: an answer that says "not run" is true, and a request that may not be repeated runs at most
// once. Deliberately broken policies must be caught, else the check would prove nothing.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "routing/retry_policy.h"
#include "tests/routing/fleet.h"

namespace copperlead {
namespace {

using routing_test::kStart;

constexpr Repeatable kRepeatables[] = {Repeatable::kByMethod, Repeatable::kYes, Repeatable::kNo};
constexpr const char* kMethods[] = {"GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"};
constexpr int kStatuses[] = {200, 201, 400, 404, 409, 429, 500, 502, 503, 504};
constexpr std::uint32_t kMostRetries = 3;

// One request as the model sees it.
struct ModelRequest {
  std::unique_ptr<RequestSession> session;
  RequestFacts facts;
  const RouteRow* row = nullptr;
  std::optional<Timestamp> deadline;
  RequestAction action;
  int runs = 0;       // On any back end.
  int attempts = 0;   // Times it was sent.
  int unwritten = 0;  // Of these, with nothing written.
  bool relayed_not_run = false;
};

// Drives one router through interleaved sessions, and collects every broken promise.
class Model {
 public:
  Model(std::uint64_t seed, std::shared_ptr<const RetryPolicy> policy)
      : random_(seed), router_(MakeSettings(), seed, std::move(policy)) {
    for (const Repeatable repeatable : kRepeatables) {
      for (std::uint32_t retries = 0; retries <= kMostRetries; ++retries)
        AddRow(repeatable, retries);
    }
    Publish();
  }

  void Run(int sessions) {
    for (int begun = 0; begun < sessions || !open_.empty();) {
      now_ += Duration(Below(2000000));
      if (Chance(0.01)) Publish();
      if (begun < sessions && (open_.size() < 8 || Chance(0.3))) {
        Begin(begun++);
        continue;
      }
      Advance(Below(open_.size()));
    }
    if (router_.in_flight() != 0) Violated("in flight after all sessions ended");
  }

  const std::set<std::string>& violations() const { return violations_; }
  const std::map<std::string, int>& seen() const { return seen_; }

 private:
  static RouterSettings MakeSettings() {
    RouterSettings settings;
    settings.retry_budget_share = 1;  // The budget would hide what the policy does.
    settings.retry_budget_floor = 1000000;
    return settings;
  }

  std::size_t Below(std::size_t bound) { return random_() % bound; }
  bool Chance(double probability) {
    return std::generate_canonical<double, 53>(random_) < probability;
  }
  void Violated(const std::string& promise) { violations_.insert(promise); }

  void AddRow(Repeatable repeatable, std::uint32_t retries) {
    RouteRow row = routing_test::MakeRow();
    row.route = "/r" + std::to_string(rows_.size());
    row.old_weight = 50;
    row.new_weight = 50;
    row.repeatable = repeatable;
    row.max_retries = retries;
    rows_.push_back(row);
  }

  void Publish() {
    MachineList list = routing_test::MakeMachines(1 + Below(4), Below(4));
    for (Machine& machine : list.machines) {
      if (Chance(0.2)) machine.state = MachineState::kLeaving;
    }
    router_.Publish(now_, routing_test::MakeSnapshot(rows_, list));
  }

  void Begin(int number) {
    ModelRequest request;
    request.row = &rows_[Below(rows_.size())];
    request.facts.method = kMethods[Below(std::size(kMethods))];
    request.facts.path = request.row->route + "/x";
    request.facts.request_id = "request-" + std::to_string(number);
    request.facts.body_can_be_resent = Chance(0.7);
    request.facts.already_retried = Chance(0.2);
    if (Chance(0.3)) {
      request.facts.time_left = Duration(Below(20000000));
      request.deadline = now_ + *request.facts.time_left;
    }
    request.session = router_.Begin(request.facts);
    request.action = request.session->Start(now_);
    CheckAction(request);
    open_.push_back(std::move(request));
    if (!std::holds_alternative<SendAttempt>(open_.back().action)) Close(open_.size() - 1);
  }

  // One event of one open session: what happened at the back end, then what the node saw of it.
  void Advance(std::size_t index) {
    ModelRequest& request = open_[index];
    request.action = Chance(0.25) ? Answer(request) : Fail(request);
    CheckAction(request);
    if (!std::holds_alternative<SendAttempt>(request.action)) Close(index);
  }

  RequestAction Answer(ModelRequest& request) {
    AnswerHead head;
    head.status = kStatuses[Below(std::size(kStatuses))];
    head.says_not_run = Chance(0.5);
    head.closes_connection = Chance(0.2);
    if (Chance(0.5)) {
      head.load_in_flight = static_cast<std::uint32_t>(Below(8));
      head.load_slots = 6;
    }
    if (!head.says_not_run) ++request.runs;
    request.relayed_not_run = head.says_not_run;
    return request.session->OnAnswer(now_, head);
  }

  RequestAction Fail(ModelRequest& request) {
    constexpr AttemptFailure kFailures[] = {
        AttemptFailure::kConnectFailed,     AttemptFailure::kNothingWritten,
        AttemptFailure::kLostAfterWrite,    AttemptFailure::kLostAfterWrite,
        AttemptFailure::kTimeoutAfterWrite, AttemptFailure::kDeadlineAfterWrite,
        AttemptFailure::kCallerGone};
    const AttemptFailure failure = kFailures[Below(std::size(kFailures))];
    const bool nothing_written =
        failure == AttemptFailure::kConnectFailed || failure == AttemptFailure::kNothingWritten;
    if (nothing_written) ++request.unwritten;
    if (!nothing_written && Chance(0.6)) ++request.runs;
    return request.session->OnFailure(now_, failure);
  }

  // Promises about what goes to back ends.
  void CheckAction(ModelRequest& request) {
    if (!std::holds_alternative<SendAttempt>(request.action)) return;
    ++request.attempts;
    ++seen_["attempts"];
    // One more where a kept connection turned out to be closed.
    const int allowed = 2 + static_cast<int>(request.row->max_retries);
    if (request.attempts > allowed) Violated("more attempts than max_retries allows");
    if (request.deadline && now_ >= *request.deadline) Violated("attempt after the deadline");
    if (request.facts.already_retried && request.attempts > 1 + request.unwritten) {
      Violated("retried at two layers");
    }
  }

  // Promises about what is said and what ran.
  void Close(std::size_t index) {
    ModelRequest& request = open_[index];
    const auto* answer = std::get_if<AnswerError>(&request.action);
    const bool claims_not_run = answer != nullptr
                                    ? AnswerFor(answer->kind).outcome == RequestOutcome::kNotRun
                                    : request.relayed_not_run;
    if (claims_not_run && request.runs > 0) Violated("a false not-run");
    if (claims_not_run) ++seen_["not-run"];
    if (!claims_not_run && answer != nullptr) ++seen_["unknown"];
    if (answer == nullptr) ++seen_["relayed"];
    if (request.attempts > 1) ++seen_["retried"];
    if (!IsRepeatable(request.row->repeatable, request.facts.method)) {
      ++seen_["non-repeatable"];
      if (request.runs > 1) Violated("a non-repeatable request ran twice");
    }
    if (answer == nullptr) request.session->OnFinished(now_, Chance(0.9));
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  std::mt19937_64 random_;
  std::vector<RouteRow> rows_;
  RequestRouter router_;
  Timestamp now_ = kStart;
  std::vector<ModelRequest> open_;
  std::set<std::string> violations_;
  std::map<std::string, int> seen_;
};

// Each changes one rule of the standard policy.
enum class Fault {
  kRetriesLostRequests,  // As if nothing had been written.
  kForgetsDoubt,         // A later not-run hides an earlier unknown outcome.
  kClaimsNotRunOnTimeout,
  kIgnoresUpperLayer,     // Retries what a node above has retried.
  kRetriesForEver,        // Past max_retries.
  kRetriesGatewayErrors,  // A 5xx without the word, whatever the request.
};

class BrokenRetryPolicy : public RetryPolicy {
 public:
  explicit BrokenRetryPolicy(Fault fault) : fault_(fault) {}

  RetryDecision Decide(AttemptResult end, const RetryFacts& facts) const override {
    RetryFacts believed = facts;
    if (fault_ == Fault::kRetriesLostRequests) believed.repeatable = true;
    if (fault_ == Fault::kForgetsDoubt) believed.unknown_kind.reset();
    if (fault_ == Fault::kIgnoresUpperLayer) believed.already_retried = false;
    if (fault_ == Fault::kRetriesForEver) believed.retries_left = 1;
    RetryDecision decision = standard_.Decide(end, believed);
    if (fault_ == Fault::kClaimsNotRunOnTimeout && end == AttemptResult::kTimeoutAfterWrite) {
      decision.kind = ErrorKind::kConnectFailed;
    }
    if (fault_ == Fault::kRetriesGatewayErrors && end == AttemptResult::kAnswered &&
        facts.retries_left > 0 && !facts.already_retried) {
      decision = {RetryStep::kRetry, ErrorKind::kConnectionLost, true};
    }
    return decision;
  }

 private:
  const StandardRetryPolicy standard_;
  const Fault fault_;
};

constexpr int kSeeds = 20;
constexpr int kSessionsPerSeed = 2000;

TEST(RoutingModelTest, NotRunIsTrueAndNonRepeatableRequestsRunAtMostOnce) {
  std::map<std::string, int> seen;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Model model(static_cast<std::uint64_t>(seed), nullptr);
    model.Run(kSessionsPerSeed);
    EXPECT_THAT(model.violations(), testing::IsEmpty()) << "seed " << seed;
    for (const auto& [what, count] : model.seen()) seen[what] += count;
  }
  // The check means nothing unless each of these happened often.
  for (const char* what :
       {"attempts", "not-run", "unknown", "relayed", "retried", "non-repeatable"}) {
    EXPECT_GT(seen[what], 2000) << what;
    RecordProperty(what, seen[what]);
  }
}

struct FaultCase {
  Fault fault;
  const char* violation;
};

TEST(RoutingModelTest, CatchesBrokenPolicies) {
  constexpr FaultCase kCases[] = {
      {Fault::kRetriesLostRequests, "a non-repeatable request ran twice"},
      {Fault::kForgetsDoubt, "a false not-run"},
      {Fault::kClaimsNotRunOnTimeout, "a false not-run"},
      {Fault::kIgnoresUpperLayer, "retried at two layers"},
      {Fault::kRetriesForEver, "more attempts than max_retries allows"},
      {Fault::kRetriesGatewayErrors, "a non-repeatable request ran twice"},
  };
  for (const FaultCase& row : kCases) {
    Model model(1, std::make_shared<BrokenRetryPolicy>(row.fault));
    model.Run(kSessionsPerSeed);
    EXPECT_THAT(model.violations(), testing::Contains(row.violation));
  }
}

}  // namespace
}  // namespace copperlead
