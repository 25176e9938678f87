#include "base/error.h"

#include <array>
#include <cstddef>

namespace copperlead {
namespace {

constexpr std::size_t kKindCount = static_cast<std::size_t>(ErrorKind::kCount);

// The rows stand in the order of ErrorKind, which the static_assert below checks.
constexpr std::array<ErrorAnswer, kKindCount> kAnswers = {{
    {ErrorKind::kBadSetting, "bad_setting", 0, RequestOutcome::kNone, 0, 2},
    {ErrorKind::kBadAddress, "bad_address", 0, RequestOutcome::kNone, 0, 2},
    {ErrorKind::kAddressInUse, "address_in_use", 0, RequestOutcome::kNone, 0, 2},
    {ErrorKind::kUnreadableFile, "unreadable_file", 0, RequestOutcome::kNone, 0, 2},
    {ErrorKind::kSourceUnreachable, "source_unreachable", 0, RequestOutcome::kNone, 0, 3},
    {ErrorKind::kSourceTimeout, "source_timeout", 0, RequestOutcome::kNone, 0, 3},
    {ErrorKind::kSourceBadAnswer, "source_bad_answer", 0, RequestOutcome::kNone, 0, 3},
    {ErrorKind::kOversized, "oversized", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kMalformedJson, "malformed_json", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kMalformedCsv, "malformed_csv", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kMissingColumn, "missing_column", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kUnknownColumn, "unknown_column", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kDuplicateRoute, "duplicate_route", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kBadRoute, "bad_route", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kBadNumber, "bad_number", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kOutOfRange, "out_of_range", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kWeightsSum, "weights_sum", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kBadValue, "bad_value", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kUnknownService, "unknown_service", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kUnknownSecret, "unknown_secret", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kBadEncoding, "bad_encoding", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kRevisionBehind, "revision_behind", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kRevisionConflict, "revision_conflict", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kIncomplete, "incomplete", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kDigestMismatch, "digest_mismatch", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kUnknownBase, "unknown_base", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kBadFrame, "bad_frame", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kFrameTooLarge, "frame_too_large", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kUnsealFailed, "unseal_failed", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kBadRequest, "bad_request", 400, RequestOutcome::kNotRun, 0, 1},
    {ErrorKind::kHeadersTooLarge, "headers_too_large", 431, RequestOutcome::kNotRun, 0, 1},
    {ErrorKind::kNoRoute, "no_route", 404, RequestOutcome::kNotRun, 0, 1},
    {ErrorKind::kNotReady, "not_ready", 503, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kDraining, "draining", 503, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kNoEndpoint, "no_endpoint", 503, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kRateLimited, "rate_limited", 429, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kInFlightLimited, "in_flight_limited", 429, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kConnectFailed, "connect_failed", 503, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kBackendRefused, "backend_refused", 503, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kDeadlineBeforeSend, "deadline_before_send", 503, RequestOutcome::kNotRun, 1, 1},
    {ErrorKind::kConnectionLost, "connection_lost", 502, RequestOutcome::kUnknown, 0, 1},
    {ErrorKind::kResponseTimeout, "response_timeout", 504, RequestOutcome::kUnknown, 0, 1},
    {ErrorKind::kDeadlineAfterSend, "deadline_after_send", 504, RequestOutcome::kUnknown, 0, 1},
    {ErrorKind::kCallerGone, "caller_gone", 499, RequestOutcome::kUnknown, 0, 1},
    {ErrorKind::kUsage, "usage", 0, RequestOutcome::kNone, 0, 2},
    {ErrorKind::kUnreachable, "unreachable", 0, RequestOutcome::kNone, 0, 3},
    {ErrorKind::kUnexpectedStatus, "not_so", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kImpossiblePlan, "impossible_plan", 0, RequestOutcome::kNone, 0, 1},
    {ErrorKind::kInternal, "internal", 500, RequestOutcome::kUnknown, 0, 1},
}};

constexpr bool RowsMatchEnumOrder() {
  for (std::size_t index = 0; index < kKindCount; ++index) {
    if (static_cast<std::size_t>(kAnswers[index].kind) != index) return false;
  }
  return true;
}
static_assert(RowsMatchEnumOrder());

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  if (index >= kKindCount) return kAnswers.back();
  return kAnswers[index];
}

std::string_view Name(ErrorKind kind) { return AnswerFor(kind).name; }

std::string_view Name(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      return "unknown";
    case RequestOutcome::kNone:
      break;
  }
  return "";
}

}  // namespace copperlead
