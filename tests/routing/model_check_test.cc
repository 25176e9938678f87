// Runs random sessions against a model back end that counts runs. For any sequence of failures, an
// answer that says "not run" must be true, and a request that must not be repeated runs at most
// once. Deliberately broken policies must be detected; otherwise the check would prove nothing.
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
constexpr std::uint32_t kMaxRetries = 3;

// A request with the model's record of it.
struct ModelRequest {
  std::unique_ptr<RequestSession> session;
  RequestFacts facts;
  const RouteRow* row = nullptr;
  std::optional<Timestamp> deadline;
  RequestAction action;
  int runs = 0;       // Number of runs on any back end.
  int attempts = 0;   // Number of times it was sent.
  int unwritten = 0;  // Number of attempts with nothing written.
  bool relayed_not_run = false;
};

// Runs interleaved sessions of one router and collects the rules that are violated.
class Model {
 public:
  Model(std::uint64_t seed, std::shared_ptr<const RetryPolicy> policy)
      : random_(seed), router_(MakeSettings(), seed, std::move(policy)) {
    for (const Repeatable repeatable : kRepeatables) {
      for (std::uint32_t retries = 0; retries <= kMaxRetries; ++retries)
        AddRow(repeatable, retries);
    }
    Publish();
  }

  void Run(int sessions) {
    for (int begun = 0; begun < sessions || !open_.empty();) {
      now_ += Duration(RandomBelow(2000000));
      if (Chance(0.01)) Publish();
      if (begun < sessions && (open_.size() < 8 || Chance(0.3))) {
        Begin(begun++);
        continue;
      }
      Advance(RandomBelow(open_.size()));
    }
    if (router_.in_flight() != 0) AddViolation("in flight after all sessions ended");
  }

  const std::set<std::string>& violations() const { return violations_; }
  const std::map<std::string, int>& counts() const { return counts_; }

 private:
  static RouterSettings MakeSettings() {
    RouterSettings settings;
    settings.retry_budget_share = 1;  // The budget must not limit the policy's retries.
    settings.retry_budget_floor = 1000000;
    return settings;
  }

  std::size_t RandomBelow(std::size_t limit) { return random_() % limit; }
  bool Chance(double probability) {
    return std::generate_canonical<double, 53>(random_) < probability;
  }
  void AddViolation(const std::string& rule) { violations_.insert(rule); }

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
    MachineList list = routing_test::MakeMachines(1 + RandomBelow(4), RandomBelow(4));
    for (Machine& machine : list.machines) {
      if (Chance(0.2)) machine.state = MachineState::kLeaving;
    }
    router_.Publish(now_, routing_test::MakeSnapshot(rows_, list));
  }

  void Begin(int number) {
    ModelRequest request;
    request.row = &rows_[RandomBelow(rows_.size())];
    request.facts.method = kMethods[RandomBelow(std::size(kMethods))];
    request.facts.path = request.row->route + "/x";
    request.facts.request_id = "request-" + std::to_string(number);
    request.facts.body_can_be_resent = Chance(0.7);
    request.facts.already_retried = Chance(0.2);
    if (Chance(0.3)) {
      request.facts.time_left = Duration(RandomBelow(20000000));
      request.deadline = now_ + *request.facts.time_left;
    }
    request.session = router_.Begin(request.facts);
    request.action = request.session->Start(now_);
    CheckAction(request);
    open_.push_back(std::move(request));
    if (!std::holds_alternative<SendAttempt>(open_.back().action)) Close(open_.size() - 1);
  }

  // Processes one event of an open session: first its effect at the back end, then what the node
  // sees.
  void Advance(std::size_t index) {
    ModelRequest& request = open_[index];
    request.action = Chance(0.25) ? Answer(request) : Fail(request);
    CheckAction(request);
    if (!std::holds_alternative<SendAttempt>(request.action)) Close(index);
  }

  RequestAction Answer(ModelRequest& request) {
    AnswerHead head;
    head.status = kStatuses[RandomBelow(std::size(kStatuses))];
    head.says_not_run = Chance(0.5);
    head.closes_connection = Chance(0.2);
    if (Chance(0.5)) {
      head.load_in_flight = static_cast<std::uint32_t>(RandomBelow(8));
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
    const AttemptFailure failure = kFailures[RandomBelow(std::size(kFailures))];
    const bool nothing_written =
        failure == AttemptFailure::kConnectFailed || failure == AttemptFailure::kNothingWritten;
    if (nothing_written) ++request.unwritten;
    if (!nothing_written && Chance(0.6)) ++request.runs;
    return request.session->OnFailure(now_, failure);
  }

  // Checks the rules about attempts.
  void CheckAction(ModelRequest& request) {
    if (!std::holds_alternative<SendAttempt>(request.action)) return;
    ++request.attempts;
    ++counts_["attempts"];
    // One more attempt is allowed when a kept connection turns out to be closed.
    const int allowed = 2 + static_cast<int>(request.row->max_retries);
    if (request.attempts > allowed) AddViolation("more attempts than max_retries allows");
    if (request.deadline && now_ >= *request.deadline) AddViolation("attempt after the deadline");
    if (request.facts.already_retried && request.attempts > 1 + request.unwritten) {
      AddViolation("retried at two layers");
    }
  }

  // Checks the rules about the caller's answer and the runs, and removes the request.
  void Close(std::size_t index) {
    ModelRequest& request = open_[index];
    const auto* answer = std::get_if<AnswerError>(&request.action);
    const bool claims_not_run = answer != nullptr
                                    ? AnswerFor(answer->kind).outcome == RequestOutcome::kNotRun
                                    : request.relayed_not_run;
    if (claims_not_run && request.runs > 0) AddViolation("false not-run outcome");
    if (claims_not_run) ++counts_["not-run"];
    if (!claims_not_run && answer != nullptr) ++counts_["unknown"];
    if (answer == nullptr) ++counts_["relayed"];
    if (request.attempts > 1) ++counts_["retried"];
    if (!IsRepeatable(request.row->repeatable, request.facts.method)) {
      ++counts_["non-repeatable"];
      if (request.runs > 1) AddViolation("a non-repeatable request ran twice");
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
  std::map<std::string, int> counts_;
};

// Faults that each break one rule of the standard policy.
enum class Fault {
  kRetriesLostRequests,    // Retries them as if nothing had been written.
  kForgetsUnknownOutcome,  // A later not-run replaces an earlier unknown outcome.
  kClaimsNotRunOnTimeout,
  kIgnoresUpstreamRetry,  // Retries requests that a node upstream has retried.
  kIgnoresMaxRetries,     // Continues after max_retries.
  kRetriesAnyAnswer,      // Retries answers without not-run, whatever the request.
};

class BrokenRetryPolicy : public RetryPolicy {
 public:
  explicit BrokenRetryPolicy(Fault fault) : fault_(fault) {}

  RetryDecision Decide(AttemptResult result, const RetryFacts& facts) const override {
    RetryFacts modified_facts = facts;
    if (fault_ == Fault::kRetriesLostRequests) modified_facts.repeatable = true;
    if (fault_ == Fault::kForgetsUnknownOutcome) modified_facts.unknown_kind.reset();
    if (fault_ == Fault::kIgnoresUpstreamRetry) modified_facts.already_retried = false;
    if (fault_ == Fault::kIgnoresMaxRetries) modified_facts.retries_left = 1;
    RetryDecision decision = standard_.Decide(result, modified_facts);
    if (fault_ == Fault::kClaimsNotRunOnTimeout && result == AttemptResult::kTimeoutAfterWrite) {
      decision.kind = ErrorKind::kConnectFailed;
    }
    if (fault_ == Fault::kRetriesAnyAnswer && result == AttemptResult::kAnswered &&
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
  std::map<std::string, int> counts;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    Model model(static_cast<std::uint64_t>(seed), nullptr);
    model.Run(kSessionsPerSeed);
    EXPECT_THAT(model.violations(), testing::IsEmpty()) << "seed " << seed;
    for (const auto& [what, count] : model.counts()) counts[what] += count;
  }
  // The check is only meaningful if each of these happened often.
  for (const char* what :
       {"attempts", "not-run", "unknown", "relayed", "retried", "non-repeatable"}) {
    EXPECT_GT(counts[what], 2000) << what;
    RecordProperty(what, counts[what]);
  }
}

struct FaultCase {
  Fault fault;
  const char* violation;
};

TEST(RoutingModelTest, CatchesBrokenPolicies) {
  constexpr FaultCase kCases[] = {
      {Fault::kRetriesLostRequests, "a non-repeatable request ran twice"},
      {Fault::kForgetsUnknownOutcome, "false not-run outcome"},
      {Fault::kClaimsNotRunOnTimeout, "false not-run outcome"},
      {Fault::kIgnoresUpstreamRetry, "retried at two layers"},
      {Fault::kIgnoresMaxRetries, "more attempts than max_retries allows"},
      {Fault::kRetriesAnyAnswer, "a non-repeatable request ran twice"},
  };
  for (const FaultCase& row : kCases) {
    Model model(1, std::make_shared<BrokenRetryPolicy>(row.fault));
    model.Run(kSessionsPerSeed);
    EXPECT_THAT(model.violations(), testing::Contains(row.violation));
  }
}

}  // namespace
}  // namespace copperlead
