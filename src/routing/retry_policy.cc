#include "routing/retry_policy.h"

#include <algorithm>
#include <array>

namespace copperlead {
namespace {

// What an attempt's end proves about the back end.
enum class Proof : std::uint8_t { kNotRun, kUnknown, kAnswer };

struct EndRule {
  AttemptEnd end;
  Proof proof;
  ErrorKind kind;      // The answer when this attempt is the last and no earlier doubt exists.
  bool may_retry;      // Another attempt can help.
  bool body_is_spent;  // A streamed body was, or may have been, read from the caller.
};

// In the order of the enumeration; checked below.
constexpr std::array<EndRule, 9> kRules = {{
    {AttemptEnd::kConnectFailed, Proof::kNotRun, ErrorKind::kConnectFailed, true, false},
    {AttemptEnd::kNothingWritten, Proof::kNotRun, ErrorKind::kConnectFailed, true, false},
    {AttemptEnd::kLostAfterWrite, Proof::kUnknown, ErrorKind::kConnectionLost, true, true},
    {AttemptEnd::kTimeoutAfterWrite, Proof::kUnknown, ErrorKind::kResponseTimeout, true, true},
    {AttemptEnd::kDeadlineAfterWrite, Proof::kUnknown, ErrorKind::kDeadlineAfterSend, false, true},
    {AttemptEnd::kCallerGone, Proof::kUnknown, ErrorKind::kCallerGone, false, true},
    {AttemptEnd::kRefused, Proof::kNotRun, ErrorKind::kBackendRefused, true, true},
    {AttemptEnd::kAnsweredNotRun, Proof::kNotRun, ErrorKind::kBackendRefused, false, true},
    {AttemptEnd::kAnswered, Proof::kAnswer, ErrorKind::kInternal, false, true},
}};

constexpr bool RulesFollowTheEnumeration() {
  for (std::size_t index = 0; index < kRules.size(); ++index) {
    if (static_cast<std::size_t>(kRules[index].end) != index) return false;
  }
  return true;
}
static_assert(RulesFollowTheEnumeration());

bool MayRetry(const EndRule& rule, const RetryFacts& facts) {
  if (!rule.may_retry || facts.already_retried || facts.retries_left == 0) return false;
  if (rule.body_is_spent && !facts.body_can_be_resent) return false;
  return rule.proof == Proof::kNotRun || facts.repeatable;
}

}  // namespace

bool IsRepeatable(Repeatable repeatable, std::string_view method) {
  if (repeatable != Repeatable::kByMethod) return repeatable == Repeatable::kYes;
  constexpr std::array<std::string_view, 6> kIdempotent = {"GET", "HEAD",   "OPTIONS",
                                                           "PUT", "DELETE", "TRACE"};
  return std::find(kIdempotent.begin(), kIdempotent.end(), method) != kIdempotent.end();
}

RetryVerdict StandardRetryPolicy::Judge(AttemptEnd end, const RetryFacts& facts) const {
  const EndRule& rule = kRules[static_cast<std::size_t>(end)];
  RetryVerdict verdict;
  verdict.kind = rule.kind;
  verdict.outcome_unknown = rule.proof == Proof::kUnknown;
  if (rule.proof == Proof::kAnswer) {
    verdict.step = RetryStep::kRelay;
    return verdict;
  }
  if (MayRetry(rule, facts)) {
    verdict.step = RetryStep::kRetry;
  } else if (end == AttemptEnd::kAnsweredNotRun && !facts.doubt) {
    verdict.step = RetryStep::kRelay;
  }
  // Another attempt's "not run" says nothing about the earlier one.
  if (facts.doubt && rule.proof == Proof::kNotRun) verdict.kind = *facts.doubt;
  return verdict;
}

}  // namespace copperlead
