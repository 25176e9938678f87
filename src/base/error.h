// The complete list of error kinds, and the table that maps each kind to its response.
//
// Every failure that is returned to a caller, shown to an operator or logged has one of these
// kinds. No other code maps errors to HTTP statuses or exit codes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace copperlead {

enum class ErrorKind : std::uint8_t {
  // Errors in the settings and at start-up.
  kBadSetting,
  kBadAddress,
  kAddressInUse,
  kUnreadableFile,
  // Errors of the platform's services (configuration and machine list).
  kSourceUnreachable,
  kSourceTimeout,
  kSourceBadAnswer,
  kOversized,
  kMalformedJson,
  // Errors in the routing table.
  kMalformedCsv,
  kMissingColumn,
  kUnknownColumn,
  kDuplicateRoute,
  kBadRoute,
  kBadNumber,
  kOutOfRange,
  kWeightsSum,
  kBadValue,
  kUnknownService,
  kUnknownSecret,
  kBadEncoding,
  // Errors in document versions.
  kRevisionBehind,
  kRevisionConflict,
  kIncomplete,
  kDigestMismatch,
  kUnknownBase,
  // Errors in frames between nodes.
  kBadFrame,
  kFrameTooLarge,
  kUnsealFailed,
  // Errors of requests.
  kBadRequest,
  kHeadersTooLarge,
  kNoRoute,
  kNotReady,
  kDraining,
  kNoEndpoint,
  kRateLimited,
  kInFlightLimited,
  kConnectFailed,
  kBackendRefused,
  kDeadlineBeforeSend,
  kConnectionLost,
  kResponseTimeout,
  kDeadlineAfterSend,
  kCallerGone,
  // Errors of the command line tools.
  kUsage,
  kUnreachable,
  kUnexpectedStatus,
  kImpossiblePlan,
  kInternal,
  kCount,  // Number of error kinds; not an error kind itself.
};

// Tells a caller whether its request may have run, in a response that the node itself generates.
enum class RequestOutcome : std::uint8_t {
  kNone,     // Errors of this kind are never returned to a caller.
  kNotRun,   // No back end ran the request, so any method can safely be retried.
  kUnknown,  // A back end may have run the request.
};

// One row of the table: the HTTP response and the exit code for one kind of error.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;    // In snake_case, for logs, metrics and the response body.
  int http_status;          // 0 when the kind is never returned over HTTP.
  RequestOutcome outcome;   // Value of the `copperlead-outcome` header.
  int retry_after_seconds;  // Value of the `Retry-After` header; 0 for none.
  int exit_code;            // Exit code of the command line tools and of a failed start.
};

// @return the row of `kind`, or the row of kInternal for a value outside the enumeration.
//         Thread-safe.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// @return the snake_case name of the kind.
std::string_view Name(ErrorKind kind);

// @return "not-run" or "unknown", or an empty text for kNone.
std::string_view Name(RequestOutcome outcome);

}  // namespace copperlead
