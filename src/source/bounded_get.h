// One HTTP GET that is bounded in time and in memory even if the server hangs, sends single bytes
// at long intervals, sends a head or a body without end or closes the connection early.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"

namespace copperlead {

struct BoundedGetRequest {
  SocketAddress address;
  std::string path;
  std::string etag;  // Value of If-None-Match; empty for an unconditional request.
  Duration connect_timeout{};
  Duration total_timeout{};        // From the start of the request to the last byte.
  std::size_t max_body_bytes = 0;  // Limit on the body in bytes.
};

// A 200 response with its body, or a 304 response without one.
struct BoundedGetAnswer {
  int status = 0;
  std::string etag;  // Empty if the response has no ETag or one that is too long.
  std::string body;
};

class BoundedGet {
 public:
  virtual ~BoundedGet() = default;
  // Blocks for at most total_timeout, plus connect_timeout if the connection cannot be established.
  // Does not follow redirects and does not retry. Must be called once only.
  // @return the response or one of the errors kSourceUnreachable, kSourceTimeout, kOversized and
  //         kSourceBadAnswer (any status except 200 and 304, and responses that end early). The
  //         place of an error is the URL.
  virtual Result<BoundedGetAnswer> Run() = 0;
  // Makes a running Run() return soon. May be called on any thread.
  virtual void Cancel() = 0;
};

std::unique_ptr<BoundedGet> MakeBoundedGet(const BoundedGetRequest& request);

}  // namespace copperlead
