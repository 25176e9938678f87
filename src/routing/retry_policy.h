// Decides what follows an attempt: another attempt, or which answer. This is the only place that
// decides what callers are told about whether their request ran.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/error.h"
#include "table/table.h"

namespace copperlead {

// How an attempt ended, as far as it matters for the request's outcome.
enum class AttemptResult : std::uint8_t {
  kConnectFailed,       // No connection; nothing was written.
  kNothingWritten,      // The connection failed before its first byte was written.
  kLostAfterWrite,      // Some or all was written, then the connection failed.
  kTimeoutAfterWrite,   // No progress within the timeout.
  kDeadlineAfterWrite,  // The caller's deadline passed.
  kCallerGone,          // The caller disconnected.
  kRefused,             // A 5xx or 429 answer says that the request was not run.
  kAnsweredNotRun,      // Any other answer says so: a final result, not a temporary state.
  kAnswered,            // Any other answer.
};

// Inputs of the decision other than the attempt's result.
struct RetryFacts {
  bool repeatable = false;         // Result of IsRepeatable().
  bool body_can_be_resent = true;  // No body, or buffered whole.
  bool already_retried = false;    // A node upstream has retried; no second layer retries.
  // Set when an earlier attempt of this request may have been run: the kind of its result.
  std::optional<ErrorKind> unknown_kind;
  std::uint32_t retries_left = 0;  // Remaining of the row's max_retries.
};

enum class RetryStep : std::uint8_t {
  kRetry,   // Send it again if budget, deadline and back ends allow; else answer `kind`.
  kRelay,   // Pass the back end's answer on.
  kAnswer,  // Answer `kind`.
};

struct RetryDecision {
  RetryStep step = RetryStep::kAnswer;
  // The answer unless the request is retried or an answer is relayed. For kBackendRefused the back
  // end's own refusal may be relayed instead, as it states the same.
  ErrorKind kind = ErrorKind::kInternal;
  // Whether this attempt may have been run. From then on only an answer makes the outcome known.
  bool outcome_unknown = false;
};

// @return whether a request may be sent again after an unknown outcome. The row's `yes` and `no`
//         override the method; `by-method` allows the idempotent methods of RFC 9110 section 9.2.2.
//         Methods are case-sensitive.
bool IsRepeatable(Repeatable repeatable, std::string_view method);

// Stateless, so any thread may call it. An interface, so that tests can verify that their checks
// fail with a broken policy.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;
  virtual RetryDecision Decide(AttemptResult result, const RetryFacts& facts) const = 0;
};

// The policy used in production.
class StandardRetryPolicy : public RetryPolicy {
 public:
  RetryDecision Decide(AttemptResult result, const RetryFacts& facts) const override;
};

}  // namespace copperlead
