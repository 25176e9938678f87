#include "routing/retry_policy.h"

#include <algorithm>
#include <array>

namespace copperlead {
namespace {

// What an attempt's result proves about whether the request ran.
enum class Proof : std::uint8_t { kNotRun, kUnknown, kAnswer };

struct ResultRule {
  AttemptResult result;
  Proof proof;
  ErrorKind kind;      // The answer after the last attempt, unless an earlier outcome is unknown.
  bool may_retry;      // Another attempt may succeed.
  bool body_consumed;  // A streamed body was, or may have been, read from the caller.
};

// Rules in the order of the enumeration, which a static_assert below checks.
constexpr std::array<ResultRule, 9> kRules = {{
    {AttemptResult::kConnectFailed, Proof::kNotRun, ErrorKind::kConnectFailed, true, false},
    {AttemptResult::kNothingWritten, Proof::kNotRun, ErrorKind::kConnectFailed, true, false},
    {AttemptResult::kLostAfterWrite, Proof::kUnknown, ErrorKind::kConnectionLost, true, true},
    {AttemptResult::kTimeoutAfterWrite, Proof::kUnknown, ErrorKind::kResponseTimeout, true, true},
    {AttemptResult::kDeadlineAfterWrite, Proof::kUnknown, ErrorKind::kDeadlineAfterSend, false,
     true},
    {AttemptResult::kCallerGone, Proof::kUnknown, ErrorKind::kCallerGone, false, true},
    {AttemptResult::kRefused, Proof::kNotRun, ErrorKind::kBackendRefused, true, true},
    {AttemptResult::kAnsweredNotRun, Proof::kNotRun, ErrorKind::kBackendRefused, false, true},
    {AttemptResult::kAnswered, Proof::kAnswer, ErrorKind::kInternal, false, true},
}};

constexpr bool RulesAreInEnumOrder() {
  for (std::size_t index = 0; index < kRules.size(); ++index) {
    if (static_cast<std::size_t>(kRules[index].result) != index) return false;
  }
  return true;
}
static_assert(RulesAreInEnumOrder());

bool MayRetry(const ResultRule& rule, const RetryFacts& facts) {
  if (!rule.may_retry || facts.already_retried || facts.retries_left == 0) return false;
  if (rule.body_consumed && !facts.body_can_be_resent) return false;
  return rule.proof == Proof::kNotRun || facts.repeatable;
}

}  // namespace

bool IsRepeatable(Repeatable repeatable, std::string_view method) {
  if (repeatable != Repeatable::kByMethod) return repeatable == Repeatable::kYes;
  constexpr std::array<std::string_view, 6> kIdempotent = {"GET", "HEAD",   "OPTIONS",
                                                           "PUT", "DELETE", "TRACE"};
  return std::find(kIdempotent.begin(), kIdempotent.end(), method) != kIdempotent.end();
}

RetryDecision StandardRetryPolicy::Decide(AttemptResult result, const RetryFacts& facts) const {
  const ResultRule& rule = kRules[static_cast<std::size_t>(result)];
  RetryDecision decision;
  decision.kind = rule.kind;
  decision.outcome_unknown = rule.proof == Proof::kUnknown;
  if (rule.proof == Proof::kAnswer) {
    decision.step = RetryStep::kRelay;
    return decision;
  }
  if (MayRetry(rule, facts)) {
    decision.step = RetryStep::kRetry;
  } else if (result == AttemptResult::kAnsweredNotRun && !facts.unknown_kind) {
    decision.step = RetryStep::kRelay;
  }
  // That this attempt was not run proves nothing about an earlier one.
  if (facts.unknown_kind && rule.proof == Proof::kNotRun) decision.kind = *facts.unknown_kind;
  return decision;
}

}  // namespace copperlead
