// Reads the platform's configuration service over HTTP, off the deciding thread.
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
  Duration read_timeout = std::chrono::seconds(2);  // Of the whole answer.
};

class SourceClient {
 public:
  // Called from the client's own threads (one per stream) with the answer to each Fetch; not after
  // Stop().
  using Receiver = std::function<void(SourceAnswered)>;

  virtual ~SourceClient() = default;
  // Starts one conditional GET; the answer goes to the receiver. Any thread; never blocks.
  virtual void Fetch(const FetchFromSource& request) = 0;
  // Cuts what is under way and ends the threads. Idempotent; not from the receiver.
  virtual void Stop() = 0;
};

// Starts the client's threads. Faulty bodies come back as kFailed (kMalformedJson, kOversized,
// kSourceBadAnswer, kSourceTimeout, kSourceUnreachable) with place and cause; a readable document
// whose table has faults comes back as kNew with its faults, so that they can be shown.
std::unique_ptr<SourceClient> StartSourceClient(const SourceClientSettings& settings,
                                                SourceClient::Receiver receiver);

}  // namespace copperlead
