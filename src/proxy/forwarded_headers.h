// Selects the headers that are forwarded and formats the heads that are sent to back ends and
// callers. Does no I/O.
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

// @return the end-to-end fields of a request: all except hop-by-hop fields (RFC 9110, section
//         7.6.1), those that Connection names, `copperlead-*`, Host, Content-Length and Expect.
HeaderFields ForwardedRequestFields(const HeaderFields& fields);

// @return the end-to-end fields of a response: all except hop-by-hop fields and those that
//         Connection names. Content-Length is kept.
HeaderFields ForwardedResponseFields(const HeaderFields& fields);

// Formats the head of a request to a back end.
// @param time_left value of `copperlead-deadline-ms`, if there is a deadline.
std::string UpstreamRequestHead(const CallerRequest& request, const SendAttempt& attempt,
                                std::optional<Duration> time_left);

// How the body of a relayed response is framed towards the caller.
struct RelayFraming {
  bool chunk = false;  // The proxy applies the chunked encoding.
  bool close = false;  // The connection closes after the response.
};

// Formats the head of a relayed response.
std::string RelayedResponseHead(const ResponseHead& head, RelayFraming framing);

// A response that the proxy generates itself.
struct LocalResponse {
  ErrorKind kind = ErrorKind::kInternal;
  std::string cause;
  std::optional<std::uint32_t> retry_after_seconds = std::nullopt;  // Overrides the error table's.
  std::optional<RequestOutcome> outcome = std::nullopt;             // Overrides the error table's.
  bool close = false;
  bool is_head = false;  // Responds to a HEAD request: no body follows.
};

// Formats the complete message, head and body.
std::string LocalResponseMessage(const LocalResponse& answer);

// Extracts the facts that routing needs from the head of a back end's response.
AnswerHead ReadAnswerHead(const ResponseHead& head);

}  // namespace copperlead
