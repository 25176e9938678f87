// What may follow an attempt: another attempt, or which answer. The one place that decides what is
// claimed to callers about whether their request ran.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/error.h"
#include "table/table.h"

namespace copperlead {

// How an attempt ended, as far as the outcome goes.
enum class AttemptEnd : std::uint8_t {
  kConnectFailed,       // No connection; nothing was written.
  kNothingWritten,      // The connection failed before its first byte was written.
  kLostAfterWrite,      // Some or all was written, then the connection failed.
  kTimeoutAfterWrite,   // No progress within the timeout.
  kDeadlineAfterWrite,  // The caller's deadline passed.
  kCallerGone,          // The caller left.
  kRefused,             // The back end's word that it did not run it, in a 5xx or 429 answer.
  kAnsweredNotRun,      // The same word in any other answer: a finding, not a passing state.
  kAnswered,            // Any other answer.
};

// What decides beside the attempt's end.
struct RetryFacts {
  bool repeatable = false;         // See IsRepeatable().
  bool body_can_be_resent = true;  // No body, or buffered whole.
  bool already_retried = false;    // A node above has retried: never at two layers.
  // An earlier attempt of this request may have been run: the kind by which it ended.
  std::optional<ErrorKind> doubt;
  std::uint32_t retries_left = 0;  // Of the row's max_retries.
};

enum class RetryStep : std::uint8_t {
  kRetry,   // Send it again if budget, deadline and back ends allow; else answer `kind`.
  kRelay,   // Pass the back end's answer on.
  kAnswer,  // Answer `kind`.
};

struct RetryVerdict {
  RetryStep step = RetryStep::kAnswer;
  // The answer unless the request is retried or relayed. kBackendRefused: the back end's own
  // refusal may be relayed in its place, it claims the same.
  ErrorKind kind = ErrorKind::kInternal;
  // This attempt may have been run: from here on nothing but an answer ends the doubt.
  bool outcome_unknown = false;
};

// @return whether a request may be sent again after an outcome that is not known. The row's `no`
//         goes before any method; `by-method` means RFC 9110 section 9.2.2. Methods are
//         case-sensitive.
bool IsRepeatable(Repeatable repeatable, std::string_view method);

// Pure; any thread. An interface so that tests can show their checks failing on a broken policy.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;
  virtual RetryVerdict Judge(AttemptEnd end, const RetryFacts& facts) const = 0;
};

// The policy of the product.
class StandardRetryPolicy : public RetryPolicy {
 public:
  RetryVerdict Judge(AttemptEnd end, const RetryFacts& facts) const override;
};

}  // namespace copperlead
