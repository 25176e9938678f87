#include "proxy/forwarded_headers.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "proxy/caller_request.h"

namespace copperlead {
namespace {

constexpr std::string_view kCopperleadPrefix = "copperlead-";
constexpr std::string_view kProxyPrefix = "proxy-";
constexpr std::array<std::string_view, 7> kHopByHop = {
    "connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade", "http2-settings"};
// Request headers that the proxy writes itself.
constexpr std::array<std::string_view, 3> kRewritten = {"host", "content-length", "expect"};

bool HasPrefix(std::string_view name, std::string_view prefix) {
  return name.size() >= prefix.size() && EqualsIgnoringCase(name.substr(0, prefix.size()), prefix);
}

template <std::size_t count>
bool IsOneOf(std::string_view name, const std::array<std::string_view, count>& names) {
  return std::any_of(names.begin(), names.end(), [&](std::string_view candidate) {
    return EqualsIgnoringCase(name, candidate);
  });
}

bool IsHopByHop(std::string_view name, const std::vector<std::string_view>& named_by_connection) {
  if (IsOneOf(name, kHopByHop) || HasPrefix(name, kProxyPrefix)) return true;
  return std::any_of(
      named_by_connection.begin(), named_by_connection.end(),
      [&](std::string_view candidate) { return EqualsIgnoringCase(name, candidate); });
}

void AppendField(std::string& head, std::string_view name, std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

void AppendField(std::string& head, std::string_view name, std::uint64_t value) {
  AppendField(head, name, std::to_string(value));
}

void AppendBodyFraming(std::string& head, const CallerRequest& request) {
  if (request.framing.kind == BodyKind::kChunked) {
    AppendField(head, "Transfer-Encoding", "chunked");
  } else if (request.framing.kind == BodyKind::kLength) {
    AppendField(head, "Content-Length", request.framing.length);
  } else if (request.declares_length) {
    AppendField(head, "Content-Length", "0");
  }
}

void AppendCopperleadFields(std::string& head, const CallerRequest& request,
                            const SendAttempt& attempt, std::optional<Duration> time_left) {
  AppendField(head, kRequestIdHeader, request.facts.request_id);
  AppendField(head, kAttemptHeader, std::max(request.attempt, attempt.attempt));
  if (time_left) {
    const auto left = std::chrono::duration_cast<Milliseconds>(*time_left).count();
    AppendField(head, kDeadlineHeader, static_cast<std::uint64_t>(std::max<std::int64_t>(left, 0)));
  }
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 499:
      return "Client Closed Request";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Internal Server Error";
  }
}

std::optional<std::uint32_t> ReadSmallNumber(std::string_view text) {
  std::uint64_t number = 0;
  if (!ParseWholeNumber(text, number) || number > UINT32_MAX) return std::nullopt;
  return static_cast<std::uint32_t>(number);
}

// Parses "in_flight/slots"; ignores malformed text.
void ReadLoad(std::string_view text, AnswerHead& answer) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return;
  const auto in_flight = ReadSmallNumber(text.substr(0, slash));
  const auto slots = ReadSmallNumber(text.substr(slash + 1));
  if (!in_flight || !slots) return;
  answer.load_in_flight = in_flight;
  answer.load_slots = slots;
}

}  // namespace

HeaderFields ForwardedRequestFields(const HeaderFields& fields) {
  const auto named = ListOf(fields, "Connection");
  HeaderFields forwarded;
  forwarded.reserve(fields.size());
  for (const auto& field : fields) {
    if (IsHopByHop(field.name, named) || IsOneOf(field.name, kRewritten)) continue;
    if (HasPrefix(field.name, kCopperleadPrefix)) continue;
    forwarded.push_back(field);
  }
  return forwarded;
}

HeaderFields ForwardedResponseFields(const HeaderFields& fields) {
  const auto named = ListOf(fields, "Connection");
  HeaderFields forwarded;
  forwarded.reserve(fields.size());
  for (const auto& field : fields) {
    const bool is_length = EqualsIgnoringCase(field.name, "Content-Length");
    if (is_length || !IsHopByHop(field.name, named)) forwarded.push_back(field);
  }
  return forwarded;
}

std::string UpstreamRequestHead(const CallerRequest& request, const SendAttempt& attempt,
                                std::optional<Duration> time_left) {
  constexpr std::size_t kInitialHeadCapacity = 1024;
  std::string head;
  head.reserve(kInitialHeadCapacity);
  head.append(request.facts.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  AppendField(head, "Host",
              request.host.empty() ? ToString(attempt.endpoint.address) : request.host);
  for (const auto& field : request.fields) {
    if (attempt.secret != nullptr && EqualsIgnoringCase(field.name, "Authorization")) continue;
    AppendField(head, field.name, field.value);
  }
  if (attempt.secret != nullptr) AppendField(head, "Authorization", "Bearer " + *attempt.secret);
  AppendCopperleadFields(head, request, attempt, time_left);
  AppendBodyFraming(head, request);
  head += "\r\n";
  return head;
}

std::string RelayedResponseHead(const ResponseHead& head, RelayFraming framing) {
  constexpr std::size_t kInitialHeadCapacity = 1024;
  std::string text;
  text.reserve(kInitialHeadCapacity);
  text.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ").append(head.reason);
  text += "\r\n";
  for (const auto& field : ForwardedResponseFields(head.fields)) {
    AppendField(text, field.name, field.value);
  }
  if (framing.chunk) AppendField(text, "Transfer-Encoding", "chunked");
  if (framing.close) AppendField(text, "Connection", "close");
  text += "\r\n";
  return text;
}

std::string LocalResponseMessage(const LocalResponse& answer) {
  const ErrorAnswer& row = AnswerFor(answer.kind);
  const int status =
      row.http_status != 0 ? row.http_status : AnswerFor(ErrorKind::kInternal).http_status;
  const nlohmann::json content = {{"error", std::string(row.name)}, {"cause", answer.cause}};
  const std::string body =
      content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  const auto retry_after = answer.retry_after_seconds.value_or(row.retry_after_seconds);
  const RequestOutcome outcome = answer.outcome.value_or(row.outcome);
  std::string message = "HTTP/1.1 " + std::to_string(status) + " ";
  message.append(ReasonPhrase(status)).append("\r\n");
  AppendField(message, "Content-Type", "application/json");
  AppendField(message, "Content-Length", body.size());
  if (outcome != RequestOutcome::kNone) AppendField(message, kOutcomeHeader, Name(outcome));
  if (retry_after != 0) AppendField(message, "Retry-After", retry_after);
  if (answer.close) AppendField(message, "Connection", "close");
  message += "\r\n";
  if (!answer.is_head) message += body;
  return message;
}

AnswerHead ReadAnswerHead(const ResponseHead& head) {
  AnswerHead answer;
  answer.status = head.status;
  answer.closes_connection = ListContains(head.fields, "Connection", "close");
  for (const auto& field : head.fields) {
    if (EqualsIgnoringCase(field.name, kOutcomeHeader)) {
      answer.says_not_run = EqualsIgnoringCase(field.value, Name(RequestOutcome::kNotRun));
    } else if (EqualsIgnoringCase(field.name, kLoadHeader)) {
      ReadLoad(field.value, answer);
    } else if (EqualsIgnoringCase(field.name, "Retry-After")) {
      answer.retry_after_seconds = ReadSmallNumber(field.value);
    }
  }
  return answer;
}

}  // namespace copperlead
