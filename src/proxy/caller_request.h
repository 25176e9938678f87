// Validates the head of a caller's request and splits it into the facts that routing needs and the
// parts that are forwarded to a back end. Does no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/http_message.h"
#include "routing/request_router.h"

namespace copperlead {

// The functions of the routing layer that the proxy server calls.
struct RequestDecider {
  std::function<std::unique_ptr<RequestSession>(const RequestFacts&)> begin;
  // See NormalizePath().
  std::function<bool(std::string_view path, std::string& normalized)> normalize_path;
};

struct CallerRequest {
  RequestFacts facts;   // `path` is normalized; RequestExchange sets `body_can_be_resent`.
  std::string target;   // The normalized path and the query as received.
  std::string host;     // From an absolute-form target, else from the Host header. May be empty.
  HeaderFields fields;  // End-to-end fields only, see forwarded_headers.h.
  BodyFraming framing;
  std::uint32_t attempt = 1;  // Value of the `copperlead-attempt` header.
  bool is_head = false;
  bool declares_length = false;  // Is forwarded with a Content-Length even when that is 0.
  bool accepts_chunked = true;   // True for HTTP/1.1 callers.
  bool keep_alive = true;
  bool expects_continue = false;
};

// Why a request is refused without being routed.
struct RequestFault {
  ErrorKind kind = ErrorKind::kBadRequest;
  std::string cause;
};

// @param new_request_id called when the caller sent no request id.
// @return false when the request must be refused; `fault` then holds the reason.
bool ReadCallerRequest(const RequestHead& head, const RequestDecider& decider,
                       const std::function<std::string()>& new_request_id, CallerRequest& request,
                       RequestFault& fault);

}  // namespace copperlead
