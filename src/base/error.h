// The closed list of error kinds, and the one table from a kind to the answer it gets.
//
// Every failure in the system, whether it reaches a caller, an operator or only a log, has one of
// these kinds. Nothing else maps errors to HTTP statuses or exit codes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace copperlead {

enum class ErrorKind : std::uint8_t {
  // Settings and start-up.
  kBadSetting,
  kBadAddress,
  kAddressInUse,
  kUnreadableFile,
  // The platform's services.
  kSourceUnreachable,
  kSourceTimeout,
  kSourceBadAnswer,
  kOversized,
  kMalformedJson,
  // The table.
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
  // Versions.
  kRevisionBehind,
  kRevisionConflict,
  kIncomplete,
  kDigestMismatch,
  kUnknownBase,
  // Frames between nodes.
  kBadFrame,
  kFrameTooLarge,
  kUnsealFailed,
  // Requests.
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
  // The toolbox.
  kUsage,
  kUnreachable,
  kNotSo,
  kImpossiblePlan,
  kInternal,
  kCount,  // Number of kinds; not a kind.
};

// What a caller may conclude from an answer that the node itself made.
enum class RequestOutcome : std::uint8_t {
  kNone,     // The kind never reaches a caller.
  kNotRun,   // No back end ran the request: safe to send again, whatever the method.
  kUnknown,  // A back end may have run it.
};

// One row of the table: how a kind of error is answered.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;    // snake_case; in logs, metrics and the answer's body.
  int http_status;          // 0: never answered over HTTP.
  RequestOutcome outcome;   // The `copperlead-outcome` header.
  int retry_after_seconds;  // The `Retry-After` header; 0: none.
  int exit_code;            // Of the toolbox and of a failed start.
};

// @return the row of `kind`. Never fails; any thread.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// @return the kind's snake_case name.
std::string_view Name(ErrorKind kind);

// @return "not-run" or "unknown"; empty for kNone.
std::string_view Name(RequestOutcome outcome);

}  // namespace copperlead
