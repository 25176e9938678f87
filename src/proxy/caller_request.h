// Turns the head of a caller's request into what the router decides by and what goes on to a back
// end, or into the fault that refuses it. No I/O.
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

// What the shell needs of routing.
struct RequestDecider {
  std::function<std::unique_ptr<RequestSession>(const RequestFacts&)> begin;
  // See NormalizePath().
  std::function<bool(std::string_view path, std::string& normalized)> normalize_path;
};

struct CallerRequest {
  RequestFacts facts;   // `path` is normalized; `body_can_be_resent` is set by the shell.
  std::string target;   // The normalized path and the query as received.
  std::string host;     // Of the target in absolute form, else the Host header; may be empty.
  HeaderFields fields;  // End-to-end fields only, see forwarded_headers.h.
  BodyFraming framing;
  std::uint32_t attempt = 1;  // From `copperlead-attempt`.
  bool is_head = false;
  bool declares_length = false;  // Goes on with a Content-Length even when that is 0.
  bool accepts_chunked = true;   // HTTP/1.1.
  bool keep_alive = true;
  bool expects_continue = false;
};

// A request that goes no further.
struct RequestFault {
  ErrorKind kind = ErrorKind::kBadRequest;
  std::string cause;
};

// @param new_request_id called when the caller named none.
// @return false when the request must be refused; `fault` then says why.
bool ReadCallerRequest(const RequestHead& head, const RequestDecider& decider,
                       const std::function<std::string()>& new_request_id, CallerRequest& request,
                       RequestFault& fault);

}  // namespace copperlead
