// Which headers go on, and the heads that are written to back ends and callers. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "proxy/http_message.h"
#include "routing/request_router.h"

namespace copperlead {

struct CallerRequest;

inline constexpr std::string_view kDeadlineHeader = "copperlead-deadline-ms";
inline constexpr std::string_view kAttemptHeader = "copperlead-attempt";
inline constexpr std::string_view kRequestIdHeader = "copperlead-request-id";
inline constexpr std::string_view kCommonRequestIdHeader = "x-request-id";
inline constexpr std::string_view kOutcomeHeader = "copperlead-outcome";
inline constexpr std::string_view kLoadHeader = "copperlead-load";

// The end-to-end fields of a request: without hop-by-hop ones (RFC 9110, 7.6.1), those that
// Connection names, all `copperlead-*`, Host, Content-Length and Expect.
HeaderFields ForwardedRequestFields(const HeaderFields& fields);

// The end-to-end fields of an answer: without hop-by-hop ones and those that Connection names.
HeaderFields ForwardedResponseFields(const HeaderFields& fields);

// The head of a request to a back end.
// @param time_left for `copperlead-deadline-ms`, if there is a deadline.
std::string UpstreamRequestHead(const CallerRequest& request, const SendAttempt& attempt,
                                std::optional<Duration> time_left);

// How a relayed answer's body is framed towards the caller.
struct RelayFraming {
  bool chunk = false;  // In chunks of the node's own.
  bool close = false;  // The connection closes after it.
};

// The head of a relayed answer.
std::string RelayedResponseHead(const ResponseHead& head, RelayFraming framing);

// An answer of the node's own.
struct OwnAnswer {
  ErrorKind kind = ErrorKind::kInternal;
  std::string cause;
  std::optional<std::uint32_t> retry_after_seconds = std::nullopt;  // Overrides the error table's.
  std::optional<RequestOutcome> outcome = std::nullopt;             // Overrides the error table's.
  bool close = false;
  bool is_head = false;  // Answers HEAD: no body follows.
};

// The whole message, head and body.
std::string OwnAnswerMessage(const OwnAnswer& answer);

// What routing needs to know of a back end's answer.
AnswerHead ReadAnswerHead(const ResponseHead& head);

}  // namespace copperlead
