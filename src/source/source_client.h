// Reads the platform's configuration service over HTTP on threads of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "distribution/event.h"

namespace copperlead {

struct SourceClientSettings {
  SocketAddress address;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration read_timeout = std::chrono::seconds(2);  // Limit for the complete response.
};

class SourceClient {
 public:
  // Called on the client's own threads (one per stream) with the result of each Fetch(). Not called
  // after Stop() has returned.
  using Receiver = std::function<void(SourceAnswered)>;

  virtual ~SourceClient() = default;
  // Starts one conditional GET whose result is passed to the receiver. May be called on any thread
  // and never blocks.
  virtual void Fetch(const FetchFromSource& request) = 0;
  // Cancels requests in progress and joins the threads. Idempotent. Must not be called from the
  // receiver.
  virtual void Stop() = 0;
};

// Starts the client's threads. A failed request or an unusable body is reported as kFailed with an
// error (kMalformedJson, kOversized, kSourceBadAnswer, kSourceTimeout, kSourceUnreachable) that has
// a place and a cause. A readable document whose table has faults is reported as kNew with its
// faults, so that they can be shown.
std::unique_ptr<SourceClient> StartSourceClient(const SourceClientSettings& settings,
                                                SourceClient::Receiver receiver);

}  // namespace copperlead
