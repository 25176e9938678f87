#include "proxy/caller_request.h"

#include <algorithm>
#include <chrono>

#include "proxy/forwarded_headers.h"

namespace copperlead {
namespace {

constexpr std::uint64_t kMaxDeadlineMilliseconds = 24ULL * 60 * 60 * 1000;
constexpr std::uint64_t kMaxAttempt = 100;
constexpr std::size_t kMaxRequestIdLength = 128;

bool Refuse(RequestFault& fault, std::string cause) {
  fault = {ErrorKind::kBadRequest, std::move(cause)};
  return false;
}

bool CheckMethod(const std::string& method, RequestFault& fault) {
  // CONNECT asks for a tunnel. TRACE would show the caller the secret that the proxy adds for the
  // back end.
  if (method == "CONNECT" || method == "TRACE") return Refuse(fault, "method not supported");
  return true;
}

// Back ends may wait for a body with these methods when no length is given (RFC 9110, section 8.6).
bool MethodHasBody(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

bool StartsWithIgnoringCase(std::string_view text, std::string_view start) {
  return text.size() >= start.size() && EqualsIgnoringCase(text.substr(0, start.size()), start);
}

// Splits "http://authority/path?query" into authority and the rest.
bool TakeAuthority(std::string_view& target, std::string& host) {
  constexpr std::string_view kScheme = "http://";
  if (!StartsWithIgnoringCase(target, kScheme)) return false;
  target.remove_prefix(kScheme.size());
  const auto end = target.find_first_of("/?");
  host = target.substr(0, end);
  target.remove_prefix(end == std::string_view::npos ? target.size() : end);
  return !host.empty() && host.find('@') == std::string::npos;
}

bool ReadTarget(const RequestHead& head, const RequestDecider& decider, CallerRequest& request,
                RequestFault& fault) {
  std::string_view target = head.target;
  if (target.find('#') != std::string_view::npos) return Refuse(fault, "fragment in the target");
  if (target[0] != '/' && !TakeAuthority(target, request.host)) {
    return Refuse(fault, "target must be a path or an http URL");
  }
  const auto question = target.find('?');
  std::string_view path = target.substr(0, question);
  if (path.empty()) path = "/";
  if (!decider.normalize_path(path, request.facts.path)) return Refuse(fault, "path not allowed");
  request.target = request.facts.path;
  if (question != std::string_view::npos) request.target += target.substr(question);
  return true;
}

bool ReadHost(const RequestHead& head, CallerRequest& request, RequestFault& fault) {
  const auto hosts = ValuesOf(head.fields, "Host");
  if (hosts.size() > 1) return Refuse(fault, "several Host headers");
  if (hosts.empty() && head.minor_version > 0) return Refuse(fault, "no Host header");
  if (request.host.empty() && !hosts.empty()) request.host = hosts[0];
  return true;
}

// Reads a header that may occur at most once.
bool ReadSingle(const HeaderFields& fields, std::string_view name,
                std::optional<std::string_view>& value, RequestFault& fault) {
  const auto values = ValuesOf(fields, name);
  if (values.size() > 1) return Refuse(fault, "several " + std::string(name) + " headers");
  if (!values.empty()) value = values[0];
  return true;
}

bool ReadNumber(const HeaderFields& fields, std::string_view name, std::uint64_t least,
                std::uint64_t most, std::optional<std::uint64_t>& number, RequestFault& fault) {
  std::optional<std::string_view> value;
  if (!ReadSingle(fields, name, value, fault)) return false;
  if (!value) return true;
  std::uint64_t parsed = 0;
  if (!ParseWholeNumber(*value, parsed) || parsed < least || parsed > most) {
    return Refuse(fault, "malformed " + std::string(name));
  }
  number = parsed;
  return true;
}

bool IsRequestId(std::string_view id) {
  return !id.empty() && id.size() <= kMaxRequestIdLength &&
         std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

bool ReadRequestId(const HeaderFields& fields, std::string& request_id, RequestFault& fault) {
  for (const std::string_view name : {kRequestIdHeader, kCommonRequestIdHeader}) {
    std::optional<std::string_view> value;
    if (!ReadSingle(fields, name, value, fault)) return false;
    if (!value) continue;
    if (!IsRequestId(*value)) return Refuse(fault, "malformed " + std::string(name));
    if (request_id.empty()) request_id = *value;
  }
  return true;
}

bool ReadCopperleadHeaders(const HeaderFields& fields, CallerRequest& request,
                           RequestFault& fault) {
  std::optional<std::uint64_t> deadline;
  std::optional<std::uint64_t> attempt;
  if (!ReadNumber(fields, kDeadlineHeader, 0, kMaxDeadlineMilliseconds, deadline, fault) ||
      !ReadNumber(fields, kAttemptHeader, 1, kMaxAttempt, attempt, fault) ||
      !ReadRequestId(fields, request.facts.request_id, fault)) {
    return false;
  }
  if (deadline) request.facts.time_left = Milliseconds(*deadline);
  request.attempt = static_cast<std::uint32_t>(attempt.value_or(1));
  request.facts.already_retried = request.attempt > 1;
  return true;
}

bool ReadExpectation(const RequestHead& head, CallerRequest& request, RequestFault& fault) {
  for (const auto expectation : ListOf(head.fields, "Expect")) {
    if (!EqualsIgnoringCase(expectation, "100-continue")) {
      return Refuse(fault, "expectation not supported");
    }
    request.expects_continue = request.framing.kind != BodyKind::kNone && head.minor_version > 0;
  }
  return true;
}

}  // namespace

bool ReadCallerRequest(const RequestHead& head, const RequestDecider& decider,
                       const std::function<std::string()>& new_request_id, CallerRequest& request,
                       RequestFault& fault) {
  request.facts.method = head.method;
  request.is_head = head.method == "HEAD";
  request.declares_length =
      MethodHasBody(head.method) || !ValuesOf(head.fields, "Content-Length").empty();
  request.accepts_chunked = head.minor_version > 0;
  request.keep_alive = head.minor_version > 0 && !ListContains(head.fields, "Connection", "close");
  if (!FindRequestFraming(head, request.framing, fault.cause)) {
    return Refuse(fault, std::move(fault.cause));
  }
  if (!CheckMethod(head.method, fault) || !ReadTarget(head, decider, request, fault) ||
      !ReadHost(head, request, fault) || !ReadCopperleadHeaders(head.fields, request, fault) ||
      !ReadExpectation(head, request, fault)) {
    return false;
  }
  if (request.facts.request_id.empty()) request.facts.request_id = new_request_id();
  request.fields = ForwardedRequestFields(head.fields);
  return true;
}

}  // namespace copperlead
