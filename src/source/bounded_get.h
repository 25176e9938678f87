// One HTTP GET, by cpp-httplib, bounded in time and in bytes whatever the other side does: it may
// hang, send a byte now and then, send without end, or close early.
#pragma once

#include <cstddef>
#include <string>

#include "base/address.h"
#include "base/result.h"
#include "base/time.h"
#include "source/watchdog.h"

namespace copperlead {

struct BoundedGetRequest {
  SocketAddress address;
  std::string path;
  std::string etag;  // For If-None-Match; empty: none.
  Duration connect_timeout{};
  Duration whole_timeout{};  // From the start until the last byte.
  std::size_t max_body = 0;  // In bytes.
};

// A 200 with its body, or a 304 without.
struct BoundedGetAnswer {
  int status = 0;
  std::string etag;  // Empty when there is none, or none of a usable length.
  std::string body;
};

class BoundedGet {
 public:
  virtual ~BoundedGet() = default;
  // Blocks for at most whole_timeout, and connect_timeout on top when the connection hangs to the
  // last. Follows no redirect, repeats nothing. Call once.
  // @return kSourceUnreachable, kSourceTimeout, kOversized, or kSourceBadAnswer for any status but
  //         200 and 304 and for answers that end early; the place is the URL.
  virtual Result<BoundedGetAnswer> Run() = 0;
  // Makes a running Run() return soon. Any thread.
  virtual void Cancel() = 0;
};

// @param watchdog outlives the request.
std::unique_ptr<BoundedGet> MakeBoundedGet(const BoundedGetRequest& request, Watchdog& watchdog);

}  // namespace copperlead
